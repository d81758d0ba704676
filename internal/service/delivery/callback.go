package delivery

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"yardwharf/internal/service/network"
)

const (
	callbackConnections = 2 // to one receiver
	callbackIdle        = 2 * time.Second
	callbackTimeout     = 5 * time.Second
	callbackAnswerMost  = 64 << 10
)

// callbackBody tells the end of a message.
type callbackBody struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// newCallbackClient returns a client with few connections to each receiver. It may
// repeat a call by itself: call-backs are owed at least once.
func newCallbackClient(on network.Network) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: network.Dialer(on, dialTimeout), MaxConnsPerHost: callbackConnections,
			MaxIdleConnsPerHost: callbackConnections, IdleConnTimeout: callbackIdle,
			ResponseHeaderTimeout: callbackTimeout, DisableCompression: true,
		},
		Timeout:       callbackTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Callback tells a receiver that a message has ended; the connection is closed after the last of several.
// It returns the status of the answer, or an error where none came, or that to another message.
func (c *Client) Callback(ctx context.Context, url, id, state, stamp string, last bool) (status int, err error) {
	body, err := json.Marshal(callbackBody{ID: id, State: state, Stamp: stamp})
	if err != nil {
		return 0, Class.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, Class.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = last
	response, err := c.callbacks.Do(request)
	if err != nil {
		return 0, Class.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if told := response.Header.Get(headerRequestID); told != "" && told != id {
		c.callbacks.CloseIdleConnections()
		return 0, ErrForeign
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, callbackAnswerMost))
	return response.StatusCode, nil
}
