package dispatcher

import (
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// frontListener accepts client connections. After Close it still returns those that were in
// the kernel's accept queue: closing the socket would reset them and lose the requests that
// their clients have already sent.
type frontListener struct {
	net.Listener
	mutex   sync.Mutex
	pending []net.Conn // in the accept queue at Close
}

// Accept returns the next connection; after Close, those that were in the accept queue.
func (l *frontListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.pending) == 0 {
		return nil, err
	}
	conn, l.pending = l.pending[0], l.pending[1:]
	return conn, nil
}

// Close drains the accept queue and stops listening.
func (l *frontListener) Close() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, acceptPending(l.Listener)...)
	return l.Listener.Close()
}

// acceptPending accepts all connections in the accept queue, if the listener is a socket.
func acceptPending(listener net.Listener) (waiting []net.Conn) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	_ = control.Control(func(listening uintptr) {
		for {
			accepted, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == unix.EINTR || err == unix.ECONNABORTED:
			case err != nil:
				return
			default:
				waiting = appendConn(waiting, accepted)
			}
		}
	})
	return waiting
}

// appendConn appends a connection for an accepted socket, and takes ownership of the descriptor.
func appendConn(to []net.Conn, accepted int) []net.Conn {
	file := os.NewFile(uintptr(accepted), "client")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return to
	}
	return append(to, conn)
}
