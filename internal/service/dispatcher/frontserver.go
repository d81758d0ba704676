package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	idleLook = 5 * time.Millisecond // between two looks at the requests under way
	idleFor  = 3                    // looks in a row without one
)

// frontServer serves clients. It ends in two steps, as http.Server's Shutdown drops each
// request that it reads from then on, without an answer: first only the listener is
// closed, and clients that hold a connection are answered on it; the rest comes last.
type frontServer struct {
	server   *http.Server
	listener *frontListener
	underWay atomic.Int64 // requests
}

// newFrontServer makes a server of a listener; serve runs it.
func newFrontServer(listener net.Listener, server *http.Server) *frontServer {
	f := &frontServer{server: server, listener: &frontListener{Listener: listener}}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.underWay.Add(1)
		defer f.underWay.Add(-1)
		handler.ServeHTTP(w, r)
	})
	return f
}

// serve accepts connections until the listener is closed.
func (f *frontServer) serve() { _ = f.server.Serve(f.listener) }

// stopListening takes no more connections. Those that there are stay open.
func (f *frontServer) stopListening() { _ = f.listener.Close() }

// awaitIdle waits until no request has been under way for a moment, or the time is over.
func (f *frontServer) awaitIdle(ctx context.Context, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for looks := 0; looks < idleFor && ctx.Err() == nil; pause(ctx, idleLook) {
		looks++
		if f.underWay.Load() > 0 {
			looks = 0
		}
	}
}

// end lets requests under way end, for a while, and closes all connections.
func (f *frontServer) end(most time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	if f.server.Shutdown(ctx) != nil {
		_ = f.server.Close()
	}
}
