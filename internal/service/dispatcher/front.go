package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/protocol"
)

// Names of HTTP headers of clients and senders.
const (
	headerRequestID   = "X-Request-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerDelay       = "X-Delay-Ms"
	headerCallbackURL = "X-Callback-Url"
	headerOrderingKey = "X-Ordering-Key"
	headerRetryAfter  = "Retry-After"
)

const (
	defaultRequestTimeout = 2 * time.Second
	replyMargin           = 30 * time.Millisecond // of the client's timeout, reserved for the response
	maxRequestTimeout     = 10 * time.Second
	maxRequestIDLength    = 200
	retryAtOnce           = "0"             // Retry-After, in seconds
	retryLater            = "1"             // Retry-After, in seconds
	maxStoreShortage      = 2 * time.Second // with too few stores; after that clients are asked to retry later

	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	defaultMaxHeaderBytes = 16384
	defaultMaxBodyBytes   = 262144
	largestBodyBytes      = 7 << 20 // that a frame to a store can hold beside its head
	maxDelayMs            = 30 * 24 * 3600 * 1000
)

// serveFront starts serving clients. It waits for the first configuration, whose
// limits apply to all connections.
func (d *Dispatcher) serveFront(ctx context.Context, listener net.Listener) *frontServer {
	limits := configuration.Limits{}
	select {
	case <-d.configured:
		limits = d.configuration.Load().Limits()
	case <-ctx.Done():
	}
	front := newFrontServer(listener, &http.Server{
		Handler:           http.HandlerFunc(d.serveClient),
		ReadHeaderTimeout: cmp.Or(limits.HeaderTimeout(), defaultHeaderTimeout),
		IdleTimeout:       cmp.Or(limits.IdleTimeout(), defaultIdleTimeout),
		MaxHeaderBytes:    positiveOr(limits.MaxHeaderBytes, defaultMaxHeaderBytes),
	})
	go front.serve()
	return front
}

// maxBodyBytes returns how large the body of a message may be.
func maxBodyBytes(limits configuration.Limits) int64 {
	return int64(min(positiveOr(limits.MaxBodyBytes, defaultMaxBodyBytes), largestBodyBytes))
}

// positiveOr returns value if it is positive, otherwise fallback.
func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// serveClient handles a client request.
func (d *Dispatcher) serveClient(w http.ResponseWriter, r *http.Request) {
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet {
		if id, found := strings.CutPrefix(r.URL.Path, "/message/"); found {
			d.serveState(w, r, id)
			return
		}
		if id, found := strings.CutPrefix(r.URL.Path, "/message-body/"); found {
			d.serveBody(w, r, id)
			return
		}
	}
	d.serveMessage(w, r)
}

// serveMessage handles the submission of a message.
func (d *Dispatcher) serveMessage(w http.ResponseWriter, r *http.Request) {
	current := d.configuration.Load()
	if current == nil {
		d.refuse(w)
		return
	}
	route, service, found := current.Match(r.Host, r.URL.EscapedPath())
	if !found {
		http.Error(w, "no route for this host and path", http.StatusNotFound)
		return
	}
	head, invalid := readHead(r, route)
	head.Revision = current.Revision()
	if invalid != nil {
		http.Error(w, invalid.cause, invalid.status)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes(current.Limits())))
	if err != nil {
		replyToReadError(w, err)
		return
	}
	head.Queue = d.queueFor(route, service, head.OrderingKey)
	switch d.accept(r.Context(), protocol.Message{Head: head, Body: body}, requestTimeout(r)) {
	case protocol.Accepted:
		d.counters.accepted.Add(1)
		w.WriteHeader(http.StatusAccepted)
	case protocol.Undecided:
		d.counters.undecided.Add(1)
		http.Error(w, "the message may or may not have been kept", http.StatusGatewayTimeout)
	default:
		d.counters.refused.Add(1)
		d.refuse(w)
	}
}

// refuse responds that the message was not accepted and will never be delivered.
func (d *Dispatcher) refuse(w http.ResponseWriter) {
	w.Header().Set(headerRetryAfter, d.retryAfter())
	http.Error(w, "the message was not taken", http.StatusServiceUnavailable)
}

// retryAfter returns the Retry-After value in seconds: 0 if another dispatcher may accept the message, as while
// this one starts or a queue changes its owner; 1 if too few stores have been available for long.
func (d *Dispatcher) retryAfter() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.copyCandidates()) >= d.requiredCopies() || d.now()-d.enoughStoresAt <= maxStoreShortage {
		return retryAtOnce
	}
	return retryLater
}

// replyToReadError responds to a request whose body could not be read.
func replyToReadError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		w.Header().Set("Connection", "close")
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set("Connection", "close")
	http.Error(w, "the body could not be read", http.StatusBadRequest)
}

// invalidRequest says why a request is refused for good.
type invalidRequest struct {
	status int
	cause  string
}

// readHead builds the head of a message from its request. Whatever stores would refuse, or nobody could carry out, is
// refused here.
func readHead(r *http.Request, route *configuration.Route) (protocol.Head, *invalidRequest) {
	head := protocol.Head{
		ID: r.Header.Get(headerRequestID), Method: r.Method, Host: r.Host, Target: r.RequestURI,
		ContentType: r.Header.Get("Content-Type"), Retention: route.Retention(),
	}
	if head.ID == "" || len(head.ID) > maxRequestIDLength {
		return head, &invalidRequest{http.StatusBadRequest, headerRequestID + " is missing or too long"}
	}
	if route.Ordered {
		head.OrderingKey = r.Header.Get(headerOrderingKey)
	}
	if text := r.Header.Get(headerDelay); text != "" {
		delay, err := strconv.ParseFloat(text, 64)
		if err != nil || !(delay >= 0 && delay <= maxDelayMs) {
			return head, &invalidRequest{http.StatusBadRequest, fmt.Sprintf("%s is no number of milliseconds from 0 to %d", headerDelay, maxDelayMs)}
		}
		head.Delay = time.Duration(delay * float64(time.Millisecond))
	}
	if route.Callback {
		head.CallbackURL = r.Header.Get(headerCallbackURL)
	}
	if head.CallbackURL != "" && !callable(head.CallbackURL) {
		return head, &invalidRequest{http.StatusBadRequest, headerCallbackURL + " is no http URL with a host"}
	}
	for _, field := range [...]string{head.Host, head.Target, head.ContentType, head.OrderingKey, head.CallbackURL, head.Method} {
		if len(field) > protocol.MaxFieldBytes {
			cause := fmt.Sprintf("the path or a header has over %d bytes", protocol.MaxFieldBytes)
			return head, &invalidRequest{http.StatusRequestHeaderFieldsTooLarge, cause}
		}
	}
	return head, nil
}

// requestTimeout returns the time within which a request must be answered.
func requestTimeout(r *http.Request) time.Duration {
	given, err := strconv.ParseFloat(r.Header.Get(headerDeadline), 64)
	if err != nil || !(given > 0) {
		return defaultRequestTimeout
	}
	given = min(given, float64((maxRequestTimeout + replyMargin).Milliseconds()))
	return max(time.Duration(given*float64(time.Millisecond))-replyMargin, replyMargin)
}
