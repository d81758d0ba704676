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
	maxCallbackConnections   = 2 // per receiver
	callbackIdleTimeout      = 2 * time.Second
	callbackTimeout          = 5 * time.Second
	maxCallbackResponseBytes = 64 << 10
)

// callbackBody reports the end of a message.
type callbackBody struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// newCallbackClient returns a client with few connections to each receiver. Its Transport
// may retry a request by itself, because callbacks are delivered at least once.
func newCallbackClient(on network.Network) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: network.Dialer(on, dialTimeout), MaxConnsPerHost: maxCallbackConnections,
			MaxIdleConnsPerHost: maxCallbackConnections, IdleConnTimeout: callbackIdleTimeout,
			ResponseHeaderTimeout: callbackTimeout, MaxResponseHeaderBytes: maxResponseHeadBytes, DisableCompression: true,
		},
		Timeout:       callbackTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Callback notifies a receiver that a message has ended. If last, the connection is closed afterwards.
// It returns the status of the response, or an error if there is none or it names another message.
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
	if answeredID := response.Header.Get(headerRequestID); answeredID != "" && answeredID != id {
		c.callbacks.CloseIdleConnections()
		return 0, ErrForeign
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxCallbackResponseBytes))
	return response.StatusCode, nil
}
