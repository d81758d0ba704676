package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"yardwharf/review/second/yard"
)

const answerBytes = 1 << 10

// answeringSender answers each message with success. One of its answers may be spoilt.
type answeringSender struct {
	id     string
	record *yard.Record
	spoilt int    // number of the answer that is spoilt, from 1; 0: none
	long   string // begins the seal of that one

	mutex    sync.Mutex
	answered int
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
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-Id")
		if target := request.Header.Get("X-Target-Instance"); id == "" || target != "" && target != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		time.Sleep(20 * time.Millisecond)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Server-Seal: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			s.nextSeal(id), id, answerBytes, strings.Repeat("x", answerBytes))
		if err != nil {
			return
		}
	}
}

// nextSeal returns the seal of the next answer.
func (s *answeringSender) nextSeal(id string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answered++
	seal := fmt.Sprintf("%s.%s.%d", s.id, id, s.answered)
	if s.answered == s.spoilt {
		seal = s.long + seal
	}
	s.record.Add("sender %s: answers %s with success, answer %d, seal of %d bytes", s.id, id, s.answered, len(seal))
	return seal
}

// count returns how many answers it has given.
func (s *answeringSender) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answered
}
