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
	pageTimeout  = 800 * time.Millisecond
	listTimeout  = 3 * time.Second
	idleTimeout  = 30 * time.Second
	maxPageBytes = 8 << 20
)

// Source reads the platform's list over HTTP, keeping at most one idle connection.
type Source struct {
	address string
	client  *http.Client
	now     func() time.Time
}

// NewSource returns a source that connects over TCP at the first read.
func NewSource(address string) *Source { return NewSourceOn(network.TCP, address) }

// NewSourceOn returns a source that connects over the given network at the first read.
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

// Read reads all pages of the list. It fails if any page fails.
func (s *Source) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list := List{StartedAt: s.now()}
	pages := newPageCollector()
	for token, more := "", true; more; more = token != "" {
		page, err := s.readPage(ctx, token)
		if err != nil {
			return List{Pages: pages.pages + 1, StartedAt: list.StartedAt}, err
		}
		if token, err = pages.add(page); err != nil {
			return List{Pages: pages.pages, StartedAt: list.StartedAt}, err
		}
	}
	list.Senders, list.Pages = pages.list(), pages.pages
	list.LeftOut = pages.leftOut
	return list, nil
}

func (s *Source) readPage(ctx context.Context, token string) (Page, error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return Page{}, Class.Wrap(err)
	}
	return parsePage(response.StatusCode, body)
}

func parsePage(status int, body []byte) (Page, error) {
	switch {
	case status == http.StatusTooManyRequests:
		return Page{}, ErrRateLimited
	case status != http.StatusOK:
		return Page{}, Class.New("status %d", status)
	}
	var page Page
	if err := json.Unmarshal(body, &page); err != nil {
		return Page{}, Class.Wrap(err)
	}
	if page.Instances == nil {
		return Page{}, Class.New("response has no list of instances")
	}
	return page, nil
}
