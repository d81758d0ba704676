package serviceyard

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

const (
	contactTime    = 4 * time.Second // after a kill, cuts are nobody's fault
	soakKeys       = 3               // ordering keys of a client
	soakDelayMost  = 900             // milliseconds
	reconnectPause = 50 * time.Millisecond
	delayedEvery   = 7 // of the plain messages, one in so many is delayed
	soakFailEvery  = 23
)

// soakClient uses one connection to one dispatcher for as long as that stands, also
// after the dispatcher was asked to end.
type soakClient struct {
	soak   *soak
	number int
	front  string
	random *rand.Rand
	http   *http.Client

	sent      int
	accepted  []Accepted
	refused   []string // promised not to run
	uncertain int
	cut       []string // requests that got no answer though nothing was killed
}

func newSoakClient(s *soak, number int, front string) *soakClient {
	return &soakClient{
		soak: s, number: number, front: front, random: s.stream(100 + uint64(number)),
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}},
	}
}

// run sends messages until the context ends.
func (c *soakClient) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.send(c.next())
		sleep(ctx, time.Duration(c.random.Int64N(int64(2*c.soak.options.Pause))))
	}
}

// next returns the next message. Each try has an id of its own.
func (c *soakClient) next() Message {
	c.sent++
	m := Message{ID: fmt.Sprintf("m%d-%d", c.number, c.sent), Path: PlainPath}
	switch kind := c.random.IntN(20); {
	case kind < 1:
		m.Path = RatedPath
	case kind < 7:
		m.Path, m.Key = OrderedPath, fmt.Sprintf("key-%d-%d", c.number, c.random.IntN(soakKeys))
	case kind < 14:
		m.Callback = c.soak.yard.Receiver.URL()
	}
	if c.sent%delayedEvery == 0 && m.Key == "" {
		m.Delay = time.Duration(c.random.IntN(soakDelayMost)) * time.Millisecond
	}
	if c.sent%soakFailEvery == 0 {
		c.soak.yard.Ledger.FailOnce(m.ID)
	}
	return m
}

// send makes one try and notes what its answer says.
func (c *soakClient) send(m Message) {
	begun := time.Now()
	status, written, err := c.post(m)
	switch {
	case err != nil && !written:
		time.Sleep(reconnectPause) // it was not sent
	case err != nil:
		c.uncertain++
		if c.onlyAskedToEnd(begun) {
			c.cut = append(c.cut, fmt.Sprintf("%s to %s was cut after %v: %v", m.ID, c.front, time.Since(begun).Round(time.Millisecond), err))
		}
	case status == http.StatusAccepted:
		c.accepted = append(c.accepted, Accepted{m, begun})
	case promises(status):
		c.refused = append(c.refused, m.ID)
	default:
		c.uncertain++
	}
}

// onlyAskedToEnd reports whether nothing was killed or frozen of late: this client's
// dispatcher can only have been asked to end.
func (c *soakClient) onlyAskedToEnd(begun time.Time) bool {
	return c.soak.calm(begun, time.Now())
}

// post makes one request on the client's connection. It reports whether the whole
// request was written.
func (c *soakClient) post(m Message) (status int, written bool, err error) {
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { written = info.Err == nil }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	body := struct{ io.Reader }{strings.NewReader(m.body())} // cannot be sent twice
	request, err := messageRequest(ctx, c.front, m, body)
	if err != nil {
		return 0, false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, written, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, true, err
}
