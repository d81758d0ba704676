// Package sock makes and uses nonblocking TCP sockets.
package sock

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

const backlog = 1024

// sockaddr turns an address into the form of the system calls.
func sockaddr(a netip.AddrPort) (unix.Sockaddr, int) {
	if ip := a.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: ip.As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}, unix.AF_INET6
}

func open(family int) (int, error) {
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	return fd, nil
}

// Listen opens a listening socket.
func Listen(a netip.AddrPort) (int, error) {
	sa, family := sockaddr(a)
	fd, err := open(family)
	if err != nil {
		return -1, err
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		if err = unix.Bind(fd, sa); err == nil {
			err = unix.Listen(fd, backlog)
		}
	}
	if err != nil {
		unix.Close(fd)
		return -1, fmt.Errorf("listen on %s: %w", a, err)
	}
	return fd, nil
}

// Inherited makes a listening socket that another process has opened fit for use
// here. Its other copies are nonblocking from then on, too.
func Inherited(fd int) error {
	flags, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0)
	if err != nil {
		return fmt.Errorf("descriptor %d is not open", fd)
	}
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listens == 0 {
		return fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	// A Unix socket listens as well; by protocol a TCP socket may be MPTCP, so the
	// family and the type say what it is.
	kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE)
	family, err2 := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DOMAIN)
	if err != nil || err2 != nil || kind != unix.SOCK_STREAM || family != unix.AF_INET && family != unix.AF_INET6 {
		return fmt.Errorf("descriptor %d is no TCP socket", fd)
	}
	if _, err := unix.FcntlInt(uintptr(fd), unix.F_SETFD, flags|unix.FD_CLOEXEC); err != nil {
		return os.NewSyscallError("fcntl", err)
	}
	// That it is nonblocking is a flag that all copies share, and another process may
	// take it back at any time (programs do so without a word when they hand a socket
	// on). With a time limit an accept that finds nothing still returns.
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Usec: 1000}); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	return Nonblocking(fd)
}

// Nonblocking makes a descriptor nonblocking again.
func Nonblocking(fd int) error { return os.NewSyscallError("fcntl", unix.SetNonblock(fd, true)) }

// Accept takes a connection that waits; unix.EAGAIN says that there is none.
func Accept(listener int) (int, error) {
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			noDelay(fd)
			return fd, nil
		case unix.EINTR, unix.ECONNABORTED: // the one that waited has gone
		default:
			return -1, err
		}
	}
}

// Dial begins a connection; up says that it stands already.
func Dial(a netip.AddrPort) (fd int, up bool, err error) {
	sa, family := sockaddr(a)
	if fd, err = open(family); err != nil {
		return -1, false, err
	}
	noDelay(fd)
	switch err = unix.Connect(fd, sa); err {
	case nil:
		return fd, true, nil
	case unix.EINPROGRESS, unix.EINTR:
		return fd, false, nil
	}
	unix.Close(fd)
	return -1, false, fmt.Errorf("connect to %s: %w", a, err)
}

// Dialled says how a connection begun by Dial came out.
func Dialled(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return os.NewSyscallError("connect", err)
}

func noDelay(fd int) {
	// Without it answers only come later.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
}

// ErrWait says that a socket has nothing to read or takes nothing now.
var ErrWait = errors.New("sock: not now")

// Read reads what is there; 0 bytes are the end of the stream.
func Read(fd int, into []byte) (int, error) {
	for {
		n, err := unix.Read(fd, into)
		switch err {
		case nil:
			return n, nil
		case unix.EAGAIN:
			return 0, ErrWait
		case unix.EINTR:
		default:
			return 0, os.NewSyscallError("read", err)
		}
	}
}

// Quiet says whether a connection stands with nothing to read on it.
func Quiet(fd int) bool {
	var b [1]byte
	_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// HungUp says whether the other side has ended its sending or the connection is broken, also
// where bytes that came before that were not read.
func HungUp(fd int) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Write gathers pieces into one write and returns what is left of them, with
// ErrWait where the socket takes no more now. The pieces' slice is changed.
func Write(fd int, pieces [][]byte) ([][]byte, error) {
	for {
		for len(pieces) > 0 && len(pieces[0]) == 0 {
			pieces = pieces[1:]
		}
		if len(pieces) == 0 {
			return nil, nil
		}
		n, err := unix.Writev(fd, pieces)
		switch err {
		case nil:
		case unix.EAGAIN:
			return pieces, ErrWait
		case unix.EINTR:
			continue
		default:
			return pieces, os.NewSyscallError("writev", err)
		}
		for n > 0 && n >= len(pieces[0]) {
			n -= len(pieces[0])
			pieces = pieces[1:]
		}
		if n > 0 {
			pieces[0] = pieces[0][n:]
		}
	}
}
