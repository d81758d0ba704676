package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"yardwharf/internal/service/network"
)

const (
	pageTimeout = 800 * time.Millisecond
	listTimeout = 3 * time.Second
	idleTimeout = 30 * time.Second
	pageBytes   = 8 << 20
)

// Source reads the platform's list over HTTP, on one connection.
type Source struct {
	address string
	client  *http.Client
	now     func() time.Time
}

// NewSource returns a source over TCP that has not connected yet.
func NewSource(address string) *Source { return NewSourceOn(network.TCP, address) }

// NewSourceOn returns a source over a network that has not connected yet.
func NewSourceOn(on network.Network, address string) *Source {
	return &Source{
		address: address,
		now:     time.Now,
		client: &http.Client{Transport: &http.Transport{
			DialContext: network.Dialer(on, pageTimeout), DisableCompression: true,
			MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		}},
	}
}

// Read reads the list whole. Any page that fails makes it fail.
func (s *Source) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list := List{Began: s.now()}
	pages := newReading()
	for token, more := "", true; more; more = token != "" {
		page, err := s.page(ctx, token)
		if err != nil {
			return List{Pages: pages.pages + 1, Began: list.Began}, err
		}
		if token, err = pages.add(page); err != nil {
			return List{Pages: pages.pages, Began: list.Began}, err
		}
	}
	list.Senders, list.Pages = pages.list(), pages.pages
	return list, nil
}

func (s *Source) page(ctx context.Context, token string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: s.address, Path: "/instances"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Page{}, Class.Wrap(err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Page{}, Class.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, pageBytes))
	if err != nil {
		return Page{}, Class.Wrap(err)
	}
	return parsePage(response.StatusCode, body)
}

func parsePage(status int, body []byte) (Page, error) {
	switch {
	case status == http.StatusTooManyRequests:
		return Page{}, ErrThrottled
	case status != http.StatusOK:
		return Page{}, Class.New("status %d", status)
	}
	var page Page
	if err := json.Unmarshal(body, &page); err != nil {
		return Page{}, Class.Wrap(err)
	}
	if page.Instances == nil {
		return Page{}, Class.New("an answer without instances")
	}
	return page, nil
}
