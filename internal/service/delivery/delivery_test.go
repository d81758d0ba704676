package delivery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/verdict"
)

var background = context.Background()

func TestRequestBytes(t *testing.T) {
	p, client := newPeer(t, respond(success))
	result := client.Deliver(background, testRequest("m1"))
	p.c.Assert(result.Succeeded(), qt.IsTrue, qt.Commentf("%+v", result))
	p.c.Assert(result.Seal, qt.Equals, "seal.1")
	p.c.Assert(result.Load, qt.DeepEquals, &balance.Load{Running: 3, Waiting: 0, Slots: 8})
	p.c.Assert(result.Connected, qt.IsTrue)
	p.c.Assert(result.Reused, qt.IsFalse)
	p.c.Assert(p.heads, qt.DeepEquals, []string{"POST /a%2Fb//c?x=%20&&y HTTP/1.1\r\nHost: host.example\r\n" +
		"X-Request-Id: m1\r\nX-Ordering-Key: key 7\r\nContent-Type: text/plain\r\nX-Target-Instance: i-1\r\n" +
		"X-Deadline-Ms: 1500\r\nContent-Length: 8\r\n"})
	p.c.Assert(p.bodies, qt.DeepEquals, []string{"the body"})
}

// A GET without a body has no Content-Length, and headers without a value are left out.
func TestMinimalRequest(t *testing.T) {
	p, client := newPeer(t, respond(success))
	request := testRequest("m1")
	request.Head.Method, request.Body, request.Instance = http.MethodGet, nil, ""
	request.Head.ContentType, request.Head.OrderingKey = "", ""
	result := client.Deliver(background, request)
	p.c.Assert(result.Succeeded(), qt.IsTrue)
	p.c.Assert(p.heads, qt.DeepEquals, []string{"GET /a%2Fb//c?x=%20&&y HTTP/1.1\r\nHost: host.example\r\n" +
		"X-Request-Id: m1\r\nX-Deadline-Ms: 1500\r\n"})
}

func TestLargeBody(t *testing.T) {
	p, client := newPeer(t, respond(success))
	request := testRequest("m1")
	request.Body = []byte(strings.Repeat("0123456789abcdef", 16<<10))
	result := client.Deliver(background, request)
	p.c.Assert(result.Succeeded(), qt.IsTrue, qt.Commentf("%+v", result))
	p.c.Assert(p.bodies[0] == string(request.Body), qt.IsTrue)
}

// A request that cannot be written without escaping is not sent.
func TestInvalidRequest(t *testing.T) {
	for name, corrupt := range map[string]func(*Request){
		"no id":       func(r *Request) { r.Head.ID = "" },
		"id":          func(r *Request) { r.Head.ID = "a\r\nX: y" },
		"method":      func(r *Request) { r.Head.Method = "GET /" },
		"target":      func(r *Request) { r.Head.Target = "/a b" },
		"target line": func(r *Request) { r.Head.Target = "/a\r\n" },
		"host":        func(r *Request) { r.Head.Host = "a\nb" },
		"key":         func(r *Request) { r.Head.OrderingKey = "a\nb" },
		"type":        func(r *Request) { r.Head.ContentType = "a\nb" },
		"instance":    func(r *Request) { r.Instance = "a\nb" },
	} {
		t.Run(name, func(t *testing.T) {
			p, client := newPeer(t, respond(success))
			request := testRequest("m1")
			corrupt(&request)
			result := client.Deliver(background, request)
			p.c.Assert(result.Verdict, qt.Equals, verdict.NotRun)
			p.c.Assert(errors.Is(result.Err, ErrInvalid), qt.IsTrue)
			p.c.Assert(p.dials, qt.Equals, 0)
		})
	}
}

func TestResponses(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string
		verdict verdict.Verdict
		outcome balance.Status
	}{
		"success":          {success, verdict.Ran, balance.Succeeded},
		"chunked":          {chunked, verdict.Ran, balance.Succeeded},
		"after a 100":      {"HTTP/1.1 100 Continue\r\n\r\n" + success, verdict.Ran, balance.Succeeded},
		"failed":           {failed, verdict.Ran, balance.Failed},
		"impossible":       {impossible, verdict.Ran, balance.Refused},
		"full":             {full, verdict.NotRun, balance.Full},
		"misdirected":      {misdirected, verdict.NotRun, balance.ConnectFailed},
		"running":          {running, verdict.NotRun, balance.NotRun},
		"late":             {late, verdict.MayHaveRun, balance.TimedOut},
		"503 alone":        {unsure, verdict.MayHaveRun, balance.Lost},
		"no seal":          {strings.Replace(success, "X-Server-Seal", "X-Other", 1), verdict.MayHaveRun, balance.Lost},
		"long seal":        {withSeal(strings.Repeat("5", protocol.MaxFieldBytes)), verdict.Ran, balance.Succeeded},
		"too long a seal":  {withSeal(strings.Repeat("5", protocol.MaxFieldBytes+1)), verdict.MayHaveRun, balance.Lost},
		"endless head":     {strings.Replace(success, "X-Server-Load", "X-Other: "+strings.Repeat("5", 1<<20)+"\r\nX-Server-Load", 1), verdict.MayHaveRun, balance.Lost},
		"another's":        {withRequestID("m2", success), verdict.MayHaveRun, balance.Lost},
		"another's full":   {withRequestID("m2", full), verdict.MayHaveRun, balance.Lost},
		"another's 421":    {withRequestID("m2", misdirected), verdict.MayHaveRun, balance.Lost},
		"no id":            {strings.Replace(success, "X-Request-Id", "X-Other", 1), verdict.MayHaveRun, balance.Lost},
		"no body length":   {strings.Replace(success, "Content-Length: 4\r\n", "", 1), verdict.MayHaveRun, balance.Lost},
		"sealed, not run":  {strings.Replace(success, "X-Server-Load", "X-Not-Executed", 1), verdict.MayHaveRun, balance.Lost},
		"no HTTP response": {"hello\r\n\r\n", verdict.MayHaveRun, balance.Lost},
		"switched":         {"HTTP/1.1 101 Switching\r\n\r\n", verdict.MayHaveRun, balance.Lost},
		"many 1xx":         {strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 9) + success, verdict.MayHaveRun, balance.Lost},
		"large body":       {largeBody, verdict.Ran, balance.Succeeded},
		"large body, cut":  {largeBody[:len(largeBody)-1], verdict.MayHaveRun, balance.Lost},
	} {
		t.Run(name, func(t *testing.T) {
			p, client := newPeer(t, respond(test.answer))
			result := client.Deliver(background, testRequest("m1"))
			p.c.Assert(result.Verdict, qt.Equals, test.verdict, qt.Commentf("%+v", result))
			p.c.Assert(result.Outcome().Status, qt.Equals, test.outcome)
			p.c.Assert(result.Succeeded(), qt.Equals, test.outcome == balance.Succeeded)
			p.c.Assert(len(p.heads), qt.Equals, 1) // sent once
		})
	}
}

// The verdict if the sender closes the connection after each byte of its response.
func TestResponseCutAtEveryByte(t *testing.T) {
	for name, text := range map[string]string{
		"success": success, "chunked": chunked, "failed": failed, "impossible": impossible, "full": full, "misdirected": misdirected,
	} {
		t.Run(name, func(t *testing.T) {
			head := strings.Index(text, "\r\n\r\n") + 4
			whole := len(text)
			for cut := range whole + 1 {
				p, client := newPeer(t, respond(text[:cut]))
				result := client.Deliver(background, testRequest("m1"))
				want := verdict.MayHaveRun
				switch {
				case text == full || text == misdirected:
					if cut >= head {
						want = verdict.NotRun
					}
				case cut == whole:
					want = verdict.Ran
				}
				p.c.Assert(result.Verdict, qt.Equals, want, qt.Commentf("after %d of %d bytes: %+v", cut, whole, result))
				p.c.Assert(len(p.heads), qt.Equals, 1)
			}
		})
	}
}

// The verdict if the sender closes the connection after each byte of the request. Nothing
// is resent automatically, whatever the method, with or without a body.
func TestRequestCutAtEveryByte(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			request := testRequest("m1")
			if request.Head.Method = method; method == http.MethodGet {
				request.Body = nil
			}
			whole := len(request.appendHead(nil, request.Timeout)) + len(request.Body)
			for cut := range whole + 1 {
				p, client := newPeer(t, readThenClose(cut), respond(success))
				result := client.Deliver(background, request)
				want := verdict.MayHaveRun
				if cut == 0 {
					want = verdict.NotRun
				}
				p.c.Assert(result.Verdict, qt.Equals, want, qt.Commentf("after %d of %d bytes", cut, whole))
				p.c.Assert(p.dials, qt.Equals, 1)
			}
		})
	}
}

// A response that arrives while the request is still being written counts.
func TestResponseBeforeWholeRequest(t *testing.T) {
	p, client := newPeer(t, func(_ *peer, conn net.Conn, _ *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, conn, 50)
	})
	reads := p.scripts[0]
	p.scripts[0] = func(p *peer, conn net.Conn, reader *bufio.Reader) { reads(p, conn, reader) }
	client.dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := p.dial(ctx, address)
		return &earlyResponseConn{Conn: conn, answer: strings.NewReader(full)}, err
	}
	result := client.Deliver(background, testRequest("m1"))
	p.c.Assert(result.Verdict, qt.Equals, verdict.NotRun, qt.Commentf("%+v", result))
	p.c.Assert(client.IdleConnections(), qt.Equals, 0) // the rest of the request is missing
}

// earlyResponseConn is a connection on which the response has already arrived.
type earlyResponseConn struct {
	net.Conn
	answer io.Reader
}

func (e *earlyResponseConn) Read(to []byte) (int, error) { return e.answer.Read(to) }

func TestNoConnection(t *testing.T) {
	p, client := newPeer(t)
	result := client.Deliver(background, testRequest("m1"))
	p.c.Assert(result.Verdict, qt.Equals, verdict.NotRun)
	p.c.Assert(result.Connected, qt.IsFalse)
	p.c.Assert(result.Outcome().Status, qt.Equals, balance.ConnectFailed)
	p.c.Assert(errors.Is(result.Err, errRefused), qt.IsTrue)
}

func TestResponseTimeout(t *testing.T) {
	p, client := newPeer(t, respond())
	client.dial = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		return silentConn{near}, nil
	}
	result := client.Deliver(background, testRequest("m1"))
	p.c.Assert(result.Verdict, qt.Equals, verdict.MayHaveRun)
	p.c.Assert(result.Outcome().Status, qt.Equals, balance.TimedOut)
	p.c.Assert(client.IdleConnections(), qt.Equals, 0)
}

// The time-out bounds a body that does not end, however much of it comes.
func TestEndlessBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, client := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
			p.readRequest(reader)
			_, err := io.WriteString(conn, strings.Replace(chunked, "0\r\n\r\n", "", 1))
			for err == nil {
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(conn, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n")
			}
		})
		request, began := testRequest("m1"), time.Now()
		result := client.Deliver(background, request)
		p.c.Assert(result.Verdict, qt.Equals, verdict.MayHaveRun)
		p.c.Assert(time.Since(began) <= request.Timeout+responseSlack, qt.IsTrue)
		p.c.Assert(client.IdleConnections(), qt.Equals, 0)
	})
}

func TestCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(background)
	p, client := newPeer(t, func(p *peer, _ net.Conn, reader *bufio.Reader) {
		p.readRequest(reader)
		cancel()
		_, _ = reader.ReadByte()
	})
	result := client.Deliver(ctx, testRequest("m1"))
	p.c.Assert(result.Verdict, qt.Equals, verdict.MayHaveRun)
}

func TestConnectionIsReused(t *testing.T) {
	p, client := newPeer(t, respondAndStayOpen(success, withRequestID("m2", success)))
	first := client.Deliver(background, testRequest("m1"))
	p.c.Assert(client.IdleConnections(), qt.Equals, 1)
	second := client.Deliver(background, testRequest("m2"))
	p.c.Assert(first.Reused, qt.IsFalse)
	p.c.Assert(second.Reused, qt.IsTrue)
	p.c.Assert(second.Succeeded(), qt.IsTrue)
	p.c.Assert(p.dials, qt.Equals, 1)
}

// A delivery that may not begin any more when it has its connection writes nothing. A kept connection stays.
func TestDeliveryCalledOffBeforeItsFirstByte(t *testing.T) {
	p, client := newPeer(t, respondAndStayOpen(success, withRequestID("m3", success)), respondAndStayOpen(success))
	client.Deliver(background, testRequest("m1"))
	request := testRequest("m2")
	request.MayBegin = func() bool { return false }
	result := client.Deliver(background, request)
	p.c.Assert(result.Verdict, qt.Equals, verdict.NotRun)
	p.c.Assert(result.Err, qt.ErrorIs, ErrNotBegun)
	p.c.Assert(client.IdleConnections(), qt.Equals, 1)
	last := client.Deliver(background, testRequest("m3"))
	p.c.Assert(last.Reused, qt.IsTrue)
	p.c.Assert(p.heads, qt.HasLen, 2)
	request.Address = "another:1"
	client.Deliver(background, request)
	p.c.Assert(client.IdleConnections(), qt.Equals, 1)
	p.c.Assert(p.heads, qt.HasLen, 2)
}

// Connections are left before their senders close them.
func TestKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=5": 3950 * time.Millisecond, "max=7, timeout=2": 1550 * time.Millisecond, "timeout=0": 0,
		"timeout=-1": 0, "timeout=x": 0, "": defaultIdleTimeout, "max=3": defaultIdleTimeout, "timeout=1e9": 48*time.Second - idleMargin,
	} {
		qt.Check(t, idleTimeout(header), qt.Equals, want, qt.Commentf("%q", header))
	}
	p, client := newPeer(t, respondAndStayOpen(success), respondAndStayOpen(withRequestID("m2", success)))
	client.Deliver(background, testRequest("m1"))
	p.now = p.now.Add(4 * time.Second)
	result := client.Deliver(background, testRequest("m2"))
	p.c.Assert(result.Succeeded(), qt.IsTrue)
	p.c.Assert(result.Reused, qt.IsFalse)
	p.c.Assert(p.dials, qt.Equals, 2)
	p.now = p.now.Add(4 * time.Second)
	client.sweep()
	p.c.Assert(client.IdleConnections(), qt.Equals, 0)
	p.c.Assert(client.pools, qt.HasLen, 0)
}

func TestConnectionClose(t *testing.T) {
	p, client := newPeer(t, respondAndStayOpen(strings.Replace(success, "Keep-Alive: timeout=5", "Connection: close", 1)))
	result := client.Deliver(background, testRequest("m1"))
	p.c.Assert(result.Succeeded(), qt.IsTrue)
	p.c.Assert(client.IdleConnections(), qt.Equals, 0)
}

// If no byte can be written to an idle connection, the delivery uses another one.
func TestIdleConnectionWasClosed(t *testing.T) {
	p, client := newPeer(t, respond(success), respond(withRequestID("m2", success)))
	client.Deliver(background, testRequest("m1"))
	client.mutex.Lock()
	idle := client.pools["sender:1"].idle[0]
	client.mutex.Unlock()
	_, _ = idle.raw.Read(make([]byte, 1)) // until the sender has closed it
	result := client.Deliver(background, testRequest("m2"))
	p.c.Assert(result.Succeeded(), qt.IsTrue, qt.Commentf("%+v", result))
	p.c.Assert(result.Reused, qt.IsFalse)
	p.c.Assert(p.heads, qt.HasLen, 2)
}

// A second response to a message is never taken as the response to the next message.
func TestLateSecondResponse(t *testing.T) {
	t.Run("with the first", func(t *testing.T) {
		p, client := newPeer(t, respondAndStayOpen(success+success), respondAndStayOpen(withRequestID("m2", success)))
		client.Deliver(background, testRequest("m1"))
		p.c.Assert(client.IdleConnections(), qt.Equals, 0)
		result := client.Deliver(background, testRequest("m2"))
		p.c.Assert(result.Succeeded(), qt.IsTrue)
		p.c.Assert(result.Reused, qt.IsFalse)
	})
	t.Run("after the next request", func(t *testing.T) {
		p, client := newPeer(t, respondAndStayOpen(success, success))
		client.Deliver(background, testRequest("m1"))
		unanswered := testRequest("m2")
		unanswered.Timeout = 100 * time.Millisecond
		result := client.Deliver(background, unanswered)
		p.c.Assert(result.Reused, qt.IsTrue)
		p.c.Assert(result.Verdict, qt.Equals, verdict.MayHaveRun)
		p.c.Assert(result.TimedOut, qt.IsTrue)
		p.c.Assert(errors.Is(result.Err, ErrForeign), qt.IsTrue)
		p.c.Assert(client.IdleConnections(), qt.Equals, 0)
	})
	t.Run("to the same message", func(t *testing.T) {
		p, client := newPeer(t, respondAndStayOpen(failed), respondAndStayOpen(success))
		client.Deliver(background, testRequest("m1"))
		p.c.Assert(client.IdleConnections(), qt.Equals, 1)
		result := client.Deliver(background, testRequest("m1"))
		p.c.Assert(result.Reused, qt.IsFalse)
		p.c.Assert(result.Succeeded(), qt.IsTrue)
	})
}

// A second response to an earlier message of the connection may arrive right before the
// response to the current one. The latter counts: the message has run and is not resent.
func TestResponseAfterLateSecondResponse(t *testing.T) {
	for name, scripts := range map[string]struct {
		earlier []string // messages that the connection has carried before
		text    string
	}{
		"one":            {[]string{"m2"}, withRequestID("m2", success) + success},
		"chunked":        {[]string{"m2"}, withRequestID("m2", chunked) + success},
		"without a body": {[]string{"m2"}, withRequestID("m2", misdirected) + success},
		"several":        {[]string{"m2", "m3", "m4"}, withRequestID("m4", success) + withRequestID("m2", failed) + withRequestID("m3", chunked) + success},
	} {
		t.Run(name, func(t *testing.T) {
			var texts []string
			for _, id := range scripts.earlier {
				texts = append(texts, withRequestID(id, success))
			}
			p, client := newPeer(t, respondAndStayOpen(append(texts, scripts.text)...))
			for _, id := range scripts.earlier {
				client.Deliver(background, testRequest(id))
			}
			result := client.Deliver(background, testRequest("m1"))
			p.c.Assert(result.Succeeded(), qt.IsTrue, qt.Commentf("%+v", result))
			p.c.Assert(result.Seal, qt.Equals, "seal.1")
			p.c.Assert(result.Reused, qt.IsTrue)
		})
	}
}

// Only whole responses to messages that the connection has carried are skipped, and the
// connection is not reused after that.
func TestForeignResponsesThatEndDelivery(t *testing.T) {
	unbounded := strings.Replace(withRequestID("m2", success), "Content-Length: 4\r\n", "", 1)
	for name, text := range map[string]string{
		"to an unknown message": withRequestID("m9", success) + success,
		"without an id":         strings.Replace(success, "X-Request-Id: m1\r\n", "", 1) + success,
		"without an end":        unbounded + success,
		"too large":             strings.Replace(withRequestID("m2", success), "Content-Length: 4", "Content-Length: 1048577", 1) + strings.Repeat("x", 1<<20) + success,
	} {
		t.Run(name, func(t *testing.T) {
			p, client := newPeer(t, respondAndStayOpen(withRequestID("m2", success), text))
			client.Deliver(background, testRequest("m2"))
			result := client.Deliver(background, testRequest("m1"))
			p.c.Assert(result.Verdict, qt.Equals, verdict.MayHaveRun)
			p.c.Assert(result.Seal, qt.Equals, "")
			p.c.Assert(errors.Is(result.Err, ErrForeign), qt.IsTrue, qt.Commentf("%v", result.Err))
			p.c.Assert(result.Inconclusive(), qt.IsTrue)
			p.c.Assert(client.IdleConnections(), qt.Equals, 0)
		})
	}
	t.Run("before its own", func(t *testing.T) {
		p, client := newPeer(t, respondAndStayOpen(withRequestID("m2", success), withRequestID("m2", success)+success), respondAndStayOpen(withRequestID("m3", success)))
		client.Deliver(background, testRequest("m2"))
		client.Deliver(background, testRequest("m1"))
		p.c.Assert(client.IdleConnections(), qt.Equals, 0)
		result := client.Deliver(background, testRequest("m3"))
		p.c.Assert(result.Reused, qt.IsFalse)
		p.c.Assert(result.Succeeded(), qt.IsTrue)
	})
}

// On real sockets, an idle connection that was closed or received bytes is detected before
// anything is written.
func TestIdleConnectionIsUsable(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"open":   func(net.Conn) {},
		"closed": func(conn net.Conn) { _ = conn.Close() },
		"bytes":  func(conn net.Conn) { _, _ = io.WriteString(conn, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			raw, err := dialTCP(background, listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer raw.Close()
			far, err := listener.Accept()
			c.Assert(err, qt.IsNil)
			defer far.Close()
			conn := newConnection(raw, "")
			c.Assert(conn.usable(), qt.IsTrue)
			if disturb(far); name != "open" {
				_, _ = conn.reader.Peek(1) // until it has arrived
			}
			c.Assert(conn.usable(), qt.Equals, name == "open")
		})
	}
}

// Connections to an abandoned sender, which another dispatcher serves now, are closed: idle ones at once, those
// in use after their deliveries.
func TestAbandonedConnectionsAreClosed(t *testing.T) {
	hold, arrived := make(chan struct{}), make(chan struct{})
	p, client := newPeer(t, respondAndStayOpen(success), func(p *peer, conn net.Conn, reader *bufio.Reader) {
		p.readRequest(reader)
		close(arrived)
		<-hold
		_, _ = io.WriteString(conn, withRequestID("m2", success))
	})
	first := client.Deliver(background, testRequest("m1"))
	p.c.Assert(first.Succeeded(), qt.IsTrue)
	p.c.Assert(client.IdleConnections(), qt.Equals, 1)
	client.Abandon([]string{"sender:1", "unknown:1"})
	p.c.Assert(client.IdleConnections(), qt.Equals, 0)
	ended := make(chan Result)
	go func() { ended <- client.Deliver(background, testRequest("m2")) }()
	<-arrived
	client.Abandon([]string{"sender:1"})
	close(hold)
	second := <-ended
	p.c.Assert(second.Succeeded(), qt.IsTrue)
	p.c.Assert(client.IdleConnections(), qt.Equals, 0)
	client.mutex.Lock()
	p.c.Assert(client.pools, qt.HasLen, 0)
	client.mutex.Unlock()
}

// When the share of an address's connections shrinks, those beyond it are closed, as another dispatcher may wait for them:
// idle ones at once, those in use after their deliveries.
func TestConnectionsBeyondALowerLimitAreClosed(t *testing.T) {
	hold, arrived := make(chan struct{}), make(chan struct{}, 3)
	handle := func(id string) func(p *peer, conn net.Conn, reader *bufio.Reader) {
		return func(p *peer, conn net.Conn, reader *bufio.Reader) {
			p.readRequest(reader)
			arrived <- struct{}{}
			<-hold
			_, _ = io.WriteString(conn, withRequestID(id, success))
		}
	}
	p, client := newPeer(t, handle("m1"), handle("m1"), handle("m1"))
	ended := make(chan Result)
	for range 3 {
		go func() { ended <- client.Deliver(background, testRequest("m1")) }()
		<-arrived
	}
	client.Limit([]string{"sender:1", "unknown:1"}, 2)
	close(hold)
	for range 3 {
		result := <-ended
		p.c.Assert(result.Succeeded(), qt.IsTrue)
	}
	p.c.Assert(client.IdleConnections(), qt.Equals, 2)
	client.Limit([]string{"sender:1"}, 1)
	p.c.Assert(client.IdleConnections(), qt.Equals, 1)
	client.Limit([]string{"sender:1"}, 0)
	p.c.Assert(client.IdleConnections(), qt.Equals, 1)
}

// An address that is used again after it was abandoned keeps its connections.
func TestAbandonedAddressIsUsedAgain(t *testing.T) {
	hold, arrived := make(chan struct{}), make(chan struct{})
	p, client := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		p.readRequest(reader)
		close(arrived)
		<-hold
		_, _ = io.WriteString(conn, success)
	}, respondAndStayOpen(withRequestID("m2", success)))
	ended := make(chan Result)
	go func() { ended <- client.Deliver(background, testRequest("m1")) }()
	<-arrived
	client.Abandon([]string{"sender:1"})
	second := client.Deliver(background, testRequest("m2"))
	p.c.Assert(second.Succeeded(), qt.IsTrue)
	close(hold)
	first := <-ended
	p.c.Assert(first.Succeeded(), qt.IsTrue)
	p.c.Assert(client.IdleConnections(), qt.Equals, 2)
}

// The number of connections to a sender is limited; an idle one is closed if it cannot be used.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	arrived := make(chan struct{})
	p, client := newPeer(t, func(p *peer, conn net.Conn, reader *bufio.Reader) {
		p.readRequest(reader)
		close(arrived)
		<-hold
		_, _ = io.WriteString(conn, success)
	}, respondAndStayOpen(withRequestID("m3", success)))
	request := testRequest("m1")
	request.MaxConnections = 1
	ended := make(chan Result)
	go func() { ended <- client.Deliver(background, request) }()
	<-arrived
	other := testRequest("m2")
	other.MaxConnections = 1
	result := client.Deliver(background, other)
	p.c.Assert(result.Verdict, qt.Equals, verdict.NotRun)
	p.c.Assert(errors.Is(result.Err, ErrNoConnection), qt.IsTrue)
	p.c.Assert(result.Outcome().Status, qt.Equals, balance.NotRun)
	close(hold)
	first := <-ended
	p.c.Assert(first.Succeeded(), qt.IsTrue)
	client.mutex.Lock()
	client.pools["sender:1"].idle[0].recordCarried("m3") // so that it may not carry m3
	client.mutex.Unlock()
	third := testRequest("m3")
	third.MaxConnections = 1
	result = client.Deliver(background, third)
	p.c.Assert(result.Succeeded(), qt.IsTrue)
	p.c.Assert(result.Reused, qt.IsFalse)
	p.c.Assert(client.pools["sender:1"].open, qt.Equals, 1)
}

func TestLoadAndRetryAfter(t *testing.T) {
	for text, want := range map[string]*balance.Load{
		"3,0,8": {Running: 3, Slots: 8}, " 1, 2 ,3": {Running: 1, Waiting: 2, Slots: 3},
		"1048576,0,8": {Running: 1048576, Slots: 8}, "1048577,0,8": nil, "99999999999999999999,0,8": nil,
		"": nil, "1,2": nil, "a,b,c": nil, "-1,0,8": nil, "1,2,3,4": nil,
	} {
		qt.Check(t, parseLoad(text), qt.DeepEquals, want, qt.Commentf("%q", text))
	}
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.5": 500 * time.Millisecond, "": NoRetryAfter, "soon": NoRetryAfter,
		"-3": NoRetryAfter, "1e9": maxRetryAfter, "NaN": NoRetryAfter,
	} {
		qt.Check(t, parseRetryAfter(text), qt.Equals, want, qt.Commentf("%q", text))
	}
}

func TestCallback(t *testing.T) {
	c := qt.New(t)
	var got callbackBody
	status := http.StatusOK
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Method, qt.Equals, http.MethodPost)
		c.Check(r.URL.Path, qt.Equals, "/done")
		c.Check(r.Header.Get("Content-Type"), qt.Equals, "application/json")
		c.Check(json.NewDecoder(r.Body).Decode(&got), qt.IsNil)
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
	}))
	defer receiver.Close()
	client := NewClient()
	defer client.Close()
	for _, status = range []int{200, 400, 503, 307} {
		gotStatus, err := client.Callback(background, receiver.URL+"/done", "m1", "completed", "seal.1", false)
		c.Assert(err, qt.IsNil)
		c.Assert(gotStatus, qt.Equals, status)
		c.Assert(got, qt.Equals, callbackBody{ID: "m1", State: "completed", Stamp: "seal.1"})
	}
	receiver.Close()
	_, err := client.Callback(background, receiver.URL, "m1", "completed", "seal.1", false)
	c.Assert(err, qt.IsNotNil)
	_, err = client.Callback(background, "::", "m1", "completed", "seal.1", false)
	c.Assert(err, qt.IsNotNil)
}

func BenchmarkDeliver(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		buffer := make([]byte, 16<<10)
		for n := 0; ; n++ {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			if _, err := io.WriteString(conn, withRequestID(fmt.Sprintf("m%d", n%2), success)); err != nil {
				return
			}
		}
	}()
	client := NewClient()
	defer client.Close()
	requests := [2]Request{testRequest("m0"), testRequest("m1")}
	for i := range requests {
		requests[i].Address = listener.Addr().String()
		requests[i].Body = make([]byte, 5000)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if result := client.Deliver(background, requests[n%2]); !result.Succeeded() {
			b.Fatalf("%+v", result)
		}
	}
}

// A sender responds a second time to the first attempt of a message while the second
// attempt is under way, with other messages delivered in between. The late response must
// not end the second attempt: it arrives on a connection that never carries this message
// again.
func TestLateResponseOfEarlierAttempt(t *testing.T) {
	for between := range 3 {
		first := []string{failed}
		for n := range between {
			first = append(first, withRequestID(fmt.Sprint("other-", n), success))
		}
		first = append(first, strings.Replace(success, "seal.1", "seal.late", 1))
		p, client := newPeer(t, respondAndStayOpen(first...), respondAndStayOpen(success))
		succeeds := func(id string) {
			result := client.Deliver(background, testRequest(id))
			p.c.Assert(result.Succeeded(), qt.IsTrue)
		}
		result := client.Deliver(background, testRequest("m1"))
		p.c.Assert(result.Failed(), qt.IsTrue)
		for n := range between {
			succeeds(fmt.Sprint("other-", n))
		}
		result = client.Deliver(background, testRequest("m1"))
		p.c.Assert(result.Seal, qt.Equals, "seal.1", qt.Commentf("%d in between", between))
		p.c.Assert(p.dials, qt.Equals, 2)
		client.Close()
	}
}

// A connection remembers every message that it carried; it is closed when it has carried
// maxMessagesPerConnection.
func TestConnectionCarriesBoundedNumberOfMessages(t *testing.T) {
	var texts []string
	for n := range maxMessagesPerConnection {
		texts = append(texts, withRequestID(fmt.Sprint("m", n), success))
	}
	last := withRequestID("last", success)
	p, client := newPeer(t, respondAndStayOpen(texts...), respondAndStayOpen(last))
	for n := range maxMessagesPerConnection {
		result := client.Deliver(background, testRequest(fmt.Sprint("m", n)))
		p.c.Assert(result.Succeeded(), qt.IsTrue)
	}
	p.c.Assert(client.IdleConnections(), qt.Equals, 0)
	result := client.Deliver(background, testRequest("last"))
	p.c.Assert(result.Succeeded(), qt.IsTrue)
	p.c.Assert(p.dials, qt.Equals, 2)
}

// A response that names another message does not count for a callback.
func TestCallbackResponseToAnotherMessage(t *testing.T) {
	c := qt.New(t)
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", strings.TrimPrefix(r.URL.Path, "/"))
	}))
	defer receiver.Close()
	client := NewClient()
	defer client.Close()
	_, err := client.Callback(background, receiver.URL+"/other", "m1", "completed", "seal.1", false)
	c.Assert(errors.Is(err, ErrForeign), qt.IsTrue)
	status, err := client.Callback(background, receiver.URL+"/m1", "m1", "completed", "seal.1", false)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
}
