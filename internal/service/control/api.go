package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/register"
)

// Limits and timeouts of the operator's API.
const (
	maxBodyBytes      = 4 << 20
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 60 * time.Second
	retryAfterSeconds = "1"
	baseVersionHeader = "X-Base-Version"
)

// api handles the operator's requests.
type api struct {
	replica    *replica
	retirement *retirement
	log        logr.Logger
}

// newAPIServer returns the HTTP server of the operator's API.
func newAPIServer(replica *replica, retirement *retirement, log logr.Logger) *http.Server {
	a := &api{replica: replica, retirement: retirement, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Config.Replace", a.replaceConfiguration)
	mux.HandleFunc("GET /Config.Read", a.readConfiguration)
	mux.HandleFunc("POST /Retire.Begin/{node}", a.beginRetirement)
	mux.HandleFunc("GET /Retire.Read/{node}", a.readRetirement)
	return &http.Server{
		Handler: mux, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}

// errorReply is the body of an error reply.
type errorReply struct {
	Error string `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		status, content = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(content, '\n'))
}

// writeUnavailable replies 503 to a request whose outcome is not known or for which no
// majority responded.
func writeUnavailable(w http.ResponseWriter, cause string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	writeJSON(w, http.StatusServiceUnavailable, errorReply{cause})
}

// readBody reads a body of limited size. If it reports false, it has sent an error reply.
func readBody(w http.ResponseWriter, request *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		writeJSON(w, http.StatusRequestEntityTooLarge, errorReply{"body is over " + strconv.Itoa(maxBodyBytes) + " bytes"})
	default:
		writeJSON(w, http.StatusRequestTimeout, errorReply{"body did not arrive whole: " + err.Error()})
	}
	return nil, false
}

type revisionReply struct {
	Revision int64 `json:"revision"`
}

// replaceConfiguration handles POST /Config.Replace.
func (a *api) replaceConfiguration(w http.ResponseWriter, request *http.Request) {
	body, ok := readBody(w, request)
	if !ok {
		return
	}
	base, err := strconv.ParseInt(request.Header.Get(baseVersionHeader), 10, 64)
	if err != nil || base < 0 {
		writeJSON(w, http.StatusBadRequest, errorReply{baseVersionHeader + " wants a number of 0 or more"})
		return
	}
	parsed, err := configuration.Parse(body)
	if err != nil {
		a.log.Info("configuration rejected", "cause", err.Error())
		writeJSON(w, http.StatusBadRequest, errorReply{err.Error()})
		return
	}
	// The change is completed even if the client disconnects.
	result := a.replica.proposeWithTimeout(context.WithoutCancel(request.Context()), register.Replace(base, parsed.Revision(), body))
	a.log.Info("configuration change proposed", "revision", parsed.Revision(), "base", base, "outcome", result.Outcome.String())
	outcome := result.Outcome
	if outcome == register.Forgotten {
		outcome = a.replica.lookUpOutcome(request.Context(), result.Decided.Value, parsed.Revision(), body)
		a.log.Info("looked up outcome of earlier change", "revision", parsed.Revision(), "outcome", outcome.String())
	}
	switch outcome {
	case register.Taken:
		writeJSON(w, http.StatusOK, revisionReply{parsed.Revision()})
	case register.Stale:
		writeJSON(w, http.StatusPreconditionFailed, revisionReply{result.Decided.Value.Revision})
	case register.Invalid:
		writeJSON(w, http.StatusBadRequest, errorReply{"/revision: is not above the current revision " +
			strconv.FormatInt(result.Decided.Value.Revision, 10)})
	case register.Forgotten:
		writeUnavailable(w, "whether this order was taken is not remembered: read the configuration")
	default:
		writeUnavailable(w, "no majority has decided")
	}
}

// readConfiguration handles GET /Config.Read.
func (a *api) readConfiguration(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), proposeTimeout)
	defer cancel()
	value, decided := a.replica.readNewest(ctx)
	switch {
	case !decided:
		writeUnavailable(w, "no majority answers")
	case value.Revision == 0:
		writeJSON(w, http.StatusNotFound, errorReply{"there is no configuration yet"})
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(value.Configuration)
	}
}
