package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	idlePollInterval = 5 * time.Millisecond // between polls of the requests in flight
	idlePolls        = 3                    // consecutive polls without one
)

// frontServer serves clients. It shuts down in two steps, because http.Server.Shutdown
// drops every request that it reads afterwards without a response: first only the listener
// is closed and open connections are still served, then the server itself is shut down.
type frontServer struct {
	server   *http.Server
	listener *frontListener
	inFlight atomic.Int64 // requests
}

// newFrontServer returns a server for a listener; serve runs it.
func newFrontServer(listener net.Listener, server *http.Server) *frontServer {
	f := &frontServer{server: server, listener: &frontListener{Listener: listener}}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.inFlight.Add(1)
		defer f.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
	return f
}

// serve accepts connections until the listener is closed.
func (f *frontServer) serve() { _ = f.server.Serve(f.listener) }

// stopListening stops accepting connections. Existing ones stay open.
func (f *frontServer) stopListening() { _ = f.listener.Close() }

// awaitIdle waits until several consecutive polls find no request in flight, or until the timeout.
func (f *frontServer) awaitIdle(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for idle := 0; idle < idlePolls && ctx.Err() == nil; pause(ctx, idlePollInterval) {
		idle++
		if f.inFlight.Load() > 0 {
			idle = 0
		}
	}
}

// shutdown waits for the requests in flight until the timeout, and closes all connections.
func (f *frontServer) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if f.server.Shutdown(ctx) != nil {
		_ = f.server.Close()
	}
}
