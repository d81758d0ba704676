package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"yardwharf/internal/service/discovery"
	"yardwharf/review/second/yard"
)

// Of the case "answers".
const (
	smallAnswer   = 1 << 10
	largeAnswer   = 1<<20 + 1
	answerTimeout = 2000 // of the route, milliseconds
	answerSlack   = 50 * time.Millisecond
	answersWatch  = 8 * time.Second
)

// answeringSender answers each message with a success whose body has a size. It books when the whole answer was sent, and
// whether the other end closed the connection without leaving bytes unread.
type answeringSender struct {
	id     string
	size   int
	seal   string // begins its seals
	record *yard.Record

	mutex sync.Mutex
	runs  map[string][]answeredRun
}

type answeredRun struct {
	began, sent time.Time
	read        bool // the connection ended without a reset, or carried a further request
}

func (s *answeringSender) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.converse(conn)
	}
}

func (s *answeringSender) converse(conn net.Conn) {
	defer conn.Close()
	reader, last := bufio.NewReader(conn), ""
	for {
		_, err := reader.Peek(1)
		if last != "" && (err == nil || errors.Is(err, io.EOF)) {
			s.wasRead(last)
		}
		if err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id, began := request.Header.Get("X-Request-Id"), time.Now()
		if target := request.Header.Get("X-Target-Instance"); id == "" || target != "" && target != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			last = ""
			continue
		}
		number, seal := s.begin(id, began)
		time.Sleep(20 * time.Millisecond)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Server-Seal: %s%s.%s.%d\r\nX-Request-Id: %s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s",
			seal, s.id, id, number, id, s.size, strings.Repeat("x", s.size))
		if err != nil {
			return
		}
		s.sent(id)
		last = id
	}
}

func (s *answeringSender) setSeal(seal string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seal = seal
}

func (s *answeringSender) begin(id string, at time.Time) (number int, seal string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[id] = append(s.runs[id], answeredRun{began: at})
	s.record.Add("sender: begins %s, run %d", id, len(s.runs[id]))
	return len(s.runs[id]), s.seal
}

func (s *answeringSender) sent(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	run := &s.runs[id][len(s.runs[id])-1]
	run.sent = time.Now()
	s.record.Add("sender: answered %s with success, %d bytes, %.3f s after the run began", id, s.size, run.sent.Sub(run.began).Seconds())
}

func (s *answeringSender) wasRead(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	run := &s.runs[id][len(s.runs[id])-1]
	run.read = true
	s.record.Add("sender: the answer for %s was taken whole", id)
}

// answers has a sender answer with large bodies. Each message runs once, as its success was complete and read.
func answers(record *yard.Record, trouble bool) ([]string, error) {
	d, err := startDeployment(yard.Options{Edges: 3, Storages: 3, GraceS: 6, StatusS: 120}, record, nil,
		[]map[string]any{route("plain", "/plain/", "mail", answerTimeout, false, false)}, []map[string]any{service("mail", 0)})
	if err != nil {
		return nil, err
	}
	defer d.close()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	s := &answeringSender{id: "i-mail-1", size: largeAnswer, record: record, runs: map[string][]answeredRun{}}
	if !trouble {
		s.size = smallAnswer
	}
	go s.serve(listener)
	d.Platform.Set(discovery.Instance{
		ID: s.id, Service: "mail", Address: listener.Addr().String(), Zone: yard.Zone(0), Revision: "v1", Slots: 12, State: "ready",
	})
	time.Sleep(3 * time.Second)
	var accepted []string
	for i := range 6 {
		id := fmt.Sprint("message-", i)
		a := yard.Once(d.Front(i%3), func(c *yard.Conn) yard.Answer {
			return c.Post(host, "/plain/20", id, "hello", map[string]string{"X-Deadline-Ms": "1200"}, 3*time.Second)
		})
		record.Add("client: %s to edge-%d, answer %d %v", id, i%3+1, a.Status, a.Err)
		if a.Status == http.StatusAccepted {
			accepted = append(accepted, id)
		}
	}
	if len(accepted) == 0 {
		return nil, errors.New("no message was accepted")
	}
	time.Sleep(answersWatch)
	var breaks []string
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, id := range accepted {
		runs := s.runs[id]
		state := yard.Once(d.Front(0), func(c *yard.Conn) yard.Answer { return c.Get(host, "/message/"+id, 2*time.Second) })
		record.Add("client: %s has had %d runs, its state is %d %s", id, len(runs), state.Status, strings.TrimSpace(state.Body))
		for i := range runs[:max(0, len(runs)-1)] {
			complete := !runs[i].sent.IsZero() && runs[i].sent.Sub(runs[i].began) < answerTimeout*time.Millisecond-answerSlack
			if complete && runs[i].read {
				breaks = append(breaks, fmt.Sprintf("%s ran again %.3f s after a success that was answered in %.3f s and read whole; %d runs in all, state %s",
					id, runs[i+1].began.Sub(runs[i].sent).Seconds(), runs[i].sent.Sub(runs[i].began).Seconds(), len(runs), strings.TrimSpace(state.Body)))
				break
			}
		}
	}
	return breaks, nil
}
