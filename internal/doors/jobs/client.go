package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Client speaks the job API.
type Client struct {
	Server string // host:port
	HTTP   http.Client
}

// do sends a request and reads the answer into out. A refusal is a *Problem.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Server+path, body)
	if err != nil {
		return err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		p := &Problem{Title: resp.Status, Status: resp.StatusCode}
		json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(p)
		if after := resp.Header.Get("Retry-After"); after != "" {
			p.Detail += "; come back in " + after + " s"
		}
		return p
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	return nil
}

func path(id string, rest ...string) string {
	p := "/v1/jobs/" + url.PathEscape(id)
	for _, r := range rest {
		p += r
	}
	return p
}

// Submit submits a batch, all or none.
func (c *Client) Submit(ctx context.Context, batch []Submit) (out Page, err error) {
	err = c.do(ctx, "POST", "/v1/jobs", map[string]any{"jobs": batch}, &out)
	return out, err
}

// Show reads a job.
func (c *Client) Show(ctx context.Context, id string) (out Job, err error) {
	err = c.do(ctx, "GET", path(id), nil, &out)
	return out, err
}

// List reads a page of jobs.
func (c *Client) List(ctx context.Context, state, class, key, after string, limit int) (out Page, err error) {
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	for name, v := range map[string]string{"state": state, "class": class, "key": key, "after": after} {
		if v != "" {
			q.Set(name, v)
		}
	}
	err = c.do(ctx, "GET", "/v1/jobs?"+q.Encode(), nil, &out)
	return out, err
}

// Wait waits for a job's end, as long as the context lasts.
func (c *Client) Wait(ctx context.Context, id string) (out Job, err error) {
	for {
		if err = c.do(ctx, "GET", path(id, "/wait?timeout=30s"), nil, &out); err != nil || final(out.State) {
			return out, err
		}
	}
}

// Cancel ends a job, and with subtree all that come after it.
func (c *Client) Cancel(ctx context.Context, id string, subtree bool) (out Job, err error) {
	err = c.do(ctx, "DELETE", path(id, "?subtree=", strconv.FormatBool(subtree)), nil, &out)
	return out, err
}

// Hold keeps a job from being released, or lets it go again.
func (c *Client) Hold(ctx context.Context, id string, yes bool) (out Job, err error) {
	verb := "/release"
	if yes {
		verb = "/hold"
	}
	err = c.do(ctx, "POST", path(id, verb), nil, &out)
	return out, err
}

// Graph reads a job with all that it comes after and that come after it.
func (c *Client) Graph(ctx context.Context, id string) (out Page, err error) {
	err = c.do(ctx, "GET", path(id, "/graph"), nil, &out)
	return out, err
}

// NewClient returns a client of the API at an address.
func NewClient(server string) *Client {
	return &Client{Server: server, HTTP: http.Client{Timeout: 2 * time.Minute}}
}
