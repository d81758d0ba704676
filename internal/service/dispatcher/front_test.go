package dispatcher

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
)

// What stores would refuse, or nobody could carry out, is refused where it is read, for good.
func TestRequestsThatNobodyCouldCarryOut(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	long := strings.Repeat("x", protocol.MaxFieldBytes)
	route, _, _ := d.configuration.Load().Match("h.example", "/keys/1")
	withCallbacks := *route
	withCallbacks.Callback = true
	read := func(target string, header map[string]string) (protocol.Head, int) {
		request := httptest.NewRequest(http.MethodPost, target, nil)
		request.Header.Set(headerRequestID, "m")
		for name, value := range header {
			request.Header.Set(name, value)
		}
		head, invalid := readHead(request, &withCallbacks)
		if invalid == nil {
			return head, 0
		}
		return head, invalid.status
	}
	for _, tc := range []struct {
		target, name, value string
		status              int
	}{
		{"/keys/1", headerOrderingKey, long, 0},
		{"/keys/1", headerOrderingKey, long + "x", http.StatusRequestHeaderFieldsTooLarge},
		{"/keys/1", "Content-Type", long + "x", http.StatusRequestHeaderFieldsTooLarge},
		{"/keys/1", headerCallbackURL, "http://10.0.0.4:8080/" + long, http.StatusRequestHeaderFieldsTooLarge},
		{"/keys/" + long, "X-Other", "", http.StatusRequestHeaderFieldsTooLarge},
		{"/keys/1", headerCallbackURL, "http://10.0.0.4:8080/done", 0},
		{"/keys/1", headerCallbackURL, "ftp://10.0.0.4:8080/done", http.StatusBadRequest},
		{"/keys/1", headerCallbackURL, "http:///done", http.StatusBadRequest},
		{"/keys/1", headerCallbackURL, "http://10.0.0.4:8080/%zz", http.StatusBadRequest},
		{"/keys/1", headerDelay, "1500", 0},
		{"/keys/1", headerDelay, "-1", http.StatusBadRequest},
		{"/keys/1", headerDelay, "NaN", http.StatusBadRequest},
		{"/keys/1", headerDelay, "1e300", http.StatusBadRequest},
	} {
		head, status := read(tc.target, map[string]string{tc.name: tc.value})
		c.Check(status, qt.Equals, tc.status, qt.Commentf("%s: %.40s", tc.name, tc.value))
		head.Queue = "ordered/1"
		if status == 0 {
			c.Check(head.Check(), qt.IsNil, qt.Commentf("stores take what is taken here"))
		}
	}
	for text, want := range map[string]time.Duration{
		"500": 500*time.Millisecond - replyMargin, "1e300": maxRequestTimeout, "NaN": defaultRequestTimeout, "-5": defaultRequestTimeout, "1": replyMargin,
	} {
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		request.Header.Set(headerDeadline, text)
		c.Check(requestTimeout(request), qt.Equals, want, qt.Commentf("%s", text))
	}
}

// A call-back that cannot be made does not count as a failure of the receiver that its URL names, and is given up.
func TestCallbackThatCannotBeMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := newSimulatedDispatcher(millisecondNetwork())
		d.mutex.Lock()
		owned := addOwnedQueue(d, "ordered/1", 1)
		head := protocol.Head{ID: "m", State: protocol.Completed, Stamp: "seal", Retention: time.Hour, CallbackDue: true, CallbackURL: "ftp://10.9.0.1/done"}
		entry := owned.Add(d.now(), head, nil, nil)
		d.queueCallback(owned, entry)
		c.Check(entry.Head.CallbackDue, qt.IsFalse)
		c.Check(d.receivers, qt.HasLen, 0)
		unknown := head
		unknown.ID, unknown.CallbackURL = "n", ""
		entry = owned.Add(d.now(), unknown, nil, nil)
		d.queueCallback(owned, entry)
		c.Check(entry.Head.CallbackDue, qt.IsTrue, qt.Commentf("a store that was away may still tell the URL"))
		d.mutex.Unlock()
		end()
	})
}
