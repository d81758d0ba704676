package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"yardwharf/internal/service/protocol"
)

// garbledShare is how many answers there are to one that is spoiled.
const garbledShare = 6

// The ways in which an answer is spoiled.
const (
	answeredTwice  = iota // at once
	answeredLate          // a second answer, which comes as later requests are under way
	answeredHeld          // a second answer, which is held back until the next request's
	answeredCut           // it breaks off
	answerUnframed        // it has no length, and the connection stays open for a while
	answerWays
)

const (
	longSealShare = 2 // how many answers without a length there would be to one that has a seal over the bound instead
	longSealBytes = protocol.MaxFieldBytes + 1
)

// spoil takes a connection over from the HTTP server and answers on it by hand:
// this request with a spoiled answer, later ones as they should be.
func (s *sender) spoil(w http.ResponseWriter, r *http.Request, id string, number int) bool {
	if !s.world.garbling.Load() || hash(id, number+1000)%garbledShare != 0 {
		return false
	}
	hijacker, able := w.(http.Hijacker)
	if !able {
		return false
	}
	conn, buffered, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	answer := s.recorded(id, number)
	defer conn.Close()
	switch hash(id, number+2000) % answerWays {
	case answeredTwice:
		_, _ = conn.Write(append(answer, answer...))
		s.serveOn(conn, buffered.Reader, nil)
	case answeredHeld:
		_, _ = conn.Write(answer)
		s.serveOn(conn, buffered.Reader, answer)
	case answeredLate:
		_, _ = conn.Write(answer)
		time.AfterFunc(time.Duration(hash(id, 3000)%300)*time.Millisecond, func() { _, _ = conn.Write(answer) })
		s.serveOn(conn, buffered.Reader, nil)
	case answeredCut:
		_, _ = conn.Write(answer[:len(answer)/2])
	case answerUnframed:
		if hash(id, number+4000)%longSealShare == 0 {
			seal := "X-Server-Seal: " + strings.Repeat("5", longSealBytes)
			_, _ = conn.Write(bytes.Replace(answer, []byte("X-Server-Seal: "), []byte(seal), 1))
			s.serveOn(conn, buffered.Reader, nil)
			return true
		}
		_, _ = conn.Write(bytes.ReplaceAll(answer, []byte("Content-Length"), []byte("X-Length")))
		time.Sleep(100 * time.Millisecond)
	}
	return true
}

// recorded ends an attempt and returns its answer as it goes over the wire.
func (s *sender) recorded(id string, number int) []byte {
	recorder := httptest.NewRecorder()
	recorder.Header().Set("X-Request-Id", id)
	recorder.Header().Set("Keep-Alive", "timeout=5")
	s.answer(recorder, id, number)
	return onWire(recorder)
}

func onWire(recorder *httptest.ResponseRecorder) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", recorder.Code, http.StatusText(recorder.Code))
	recorder.Header().Set("Content-Length", fmt.Sprint(recorder.Body.Len()))
	_ = recorder.Header().Write(&out)
	out.WriteString("\r\n")
	out.Write(recorder.Body.Bytes())
	return out.Bytes()
}

// serveOn answers the requests that come on a connection, one after the other. What is held
// back goes out together with the first of these answers, before it.
func (s *sender) serveOn(conn net.Conn, reader *bufio.Reader, held []byte) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTime))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request.RemoteAddr = conn.RemoteAddr().String()
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, request)
		if _, err := conn.Write(append(held, onWire(recorder)...)); err != nil {
			return
		}
		held = nil
	}
}
