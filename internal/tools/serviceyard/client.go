package serviceyard

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// httpClient opens a connection for each call, as clients of the platform do.
var httpClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// Message is what a client wants done.
type Message struct {
	ID       string
	Path     string
	Key      string // ordering key
	Delay    time.Duration
	Callback string // URL
}

// Accepted is a message that was answered with 202.
type Accepted struct {
	Message
	SentAt time.Time
}

// Uncertain is a message that was neither accepted nor refused for sure.
type Uncertain struct {
	Message
	Status int // 0: the connection broke
	Took   time.Duration
}

// Client sends messages to the dispatchers in turn and remembers what was
// accepted.
type Client struct {
	fronts []string

	mutex     sync.Mutex
	next      int
	accepted  []Accepted
	uncertain []Uncertain
}

// NewClient returns a client of a yard.
func NewClient(y *Yard) *Client { return &Client{fronts: y.Fronts()} }

// Accepted returns the accepted messages in the order of their acceptance.
func (c *Client) Accepted() []Accepted {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Accepted(nil), c.accepted...)
}

// Uncertain returns the messages without a clear answer.
func (c *Client) Uncertain() []Uncertain {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Uncertain(nil), c.uncertain...)
}

func (c *Client) front() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	return c.fronts[c.next%len(c.fronts)]
}

// Send sends a message until it is accepted or its outcome is uncertain. It is
// sent again only after an answer that promises that it was not taken, or where
// no connection came up.
func (c *Client) Send(ctx context.Context, m Message) error {
	return Await(ctx, func() bool {
		begun := time.Now()
		status, sent := post(ctx, c.front(), m)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		switch {
		case status == http.StatusAccepted:
			c.accepted = append(c.accepted, Accepted{m, begun})
			return true
		case !sent || promises(status):
			return false
		default:
			c.uncertain = append(c.uncertain, Uncertain{m, status, time.Since(begun)})
			return true
		}
	})
}

// promises reports whether an answer says that the message was not taken.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// post makes one try. It reports whether the message may have been sent.
func post(ctx context.Context, front string, m Message) (status int, sent bool) {
	request, err := messageRequest(ctx, front, m, strings.NewReader(m.body()))
	if err != nil {
		return 0, false
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, !strings.Contains(err.Error(), "connection refused")
	}
	_ = response.Body.Close()
	return response.StatusCode, true
}

// body returns the content of a message.
func (m *Message) body() string { return "body of " + m.ID }

// messageRequest returns the request that carries a message, with its body.
func messageRequest(ctx context.Context, front string, m Message, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+m.Path+m.ID, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(m.body()))
	request.Host = Host
	request.Header.Set("X-Request-Id", m.ID)
	request.Header.Set("X-Deadline-Ms", "1500")
	for name, value := range map[string]string{"X-Ordering-Key": m.Key, "X-Callback-Url": m.Callback} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if m.Delay > 0 {
		request.Header.Set("X-Delay-Ms", strconv.FormatInt(m.Delay.Milliseconds(), 10))
	}
	return request, nil
}

// State is what a dispatcher answers about a message.
type State struct {
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// State asks the dispatchers in turn for a message's state.
func (c *Client) State(ctx context.Context, id string) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.front()+"/message/"+id, nil)
	if err != nil {
		return State{}, err
	}
	request.Host = Host
	response, err := httpClient.Do(request)
	if err != nil {
		return State{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return State{}, fmt.Errorf("message %s: status %d", id, response.StatusCode)
	}
	var state State
	return state, json.NewDecoder(response.Body).Decode(&state)
}
