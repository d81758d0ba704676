package yard

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"yardwharf/internal/service/configuration"
)

// Host is the host of all routes.
const Host = "boye61.example"

// httpClient opens a connection for each call.
var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Message is what a client sends.
type Message struct {
	ID, Target, Key, Callback string
	Delay                     time.Duration
	Body                      []byte
	SentAt, AnsweredAt        time.Duration
	Status                    int // of the answer; 0: none
}

// Send sends a message to an address once and records its answer.
func (y *Yard) Send(address string, m *Message, deadline time.Duration) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+m.Target, bytes.NewReader(m.Body))
	if err != nil {
		y.Record.Printf("send %s: %v", m.ID, err)
		return
	}
	request.Host = Host
	request.Header.Set("X-Request-Id", m.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if m.Key != "" {
		request.Header.Set("X-Ordering-Key", m.Key)
	}
	if m.Callback != "" {
		request.Header.Set("X-Callback-Url", m.Callback)
	}
	if m.Delay > 0 {
		request.Header.Set("X-Delay-Ms", strconv.FormatInt(m.Delay.Milliseconds(), 10))
	}
	m.SentAt = y.Record.Now()
	response, err := httpClient.Do(request)
	m.AnsweredAt = y.Record.Now()
	if err != nil {
		y.Record.Printf("send %s to %s: no answer: %v", m.ID, address, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	m.Status = response.StatusCode
	y.Record.Printf("send %s to %s at %.3f: %d", m.ID, address, m.SentAt.Seconds(), m.Status)
}

// Get asks an address for a path. The status is 0 where no answer came.
func (y *Yard) Get(address, path string) (status int, body []byte) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil
	}
	request.Host = Host
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	response, err := httpClient.Do(request.WithContext(ctx))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	body, _ = io.ReadAll(response.Body)
	return response.StatusCode, body
}

// State asks an address for the state of a message; it is empty without a 200.
func (y *Yard) State(address, id string) (status int, state string) {
	status, body := y.Get(address, "/message/"+id)
	var reply struct{ State string }
	_ = json.Unmarshal(body, &reply)
	return status, reply.State
}

// Configuration returns a configuration of some routes and services.
func Configuration(revision int64, routes []configuration.Route, services []configuration.Service) []byte {
	content, _ := json.Marshal(map[string]any{
		"revision": revision, "routes": routes, "services": services,
		"limits": configuration.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
	return content
}

// Configure hands a configuration to the control members in turn until one answers 200, 400 or 412.
func (y *Yard) Configure(ctx context.Context, base int64, content []byte) int {
	seeds := y.machines["storage-1"].settings.Seeds
	for next := 0; ctx.Err() == nil; next++ {
		request, err := http.NewRequest(http.MethodPost, "http://"+seeds[next%len(seeds)]+"/Config.Replace", bytes.NewReader(content))
		if err != nil {
			return 0
		}
		request.Header.Set("X-Base-Version", strconv.FormatInt(base, 10))
		request.Header.Set("Content-Type", "application/json")
		response, err := httpClient.Do(request)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_ = response.Body.Close()
		y.Record.Printf("Config.Replace on %d at %s: %d", base, seeds[next%len(seeds)], response.StatusCode)
		switch response.StatusCode {
		case http.StatusOK, http.StatusBadRequest, http.StatusPreconditionFailed:
			return response.StatusCode
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}
