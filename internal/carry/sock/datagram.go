package sock

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Datagrams opens a nonblocking UDP socket. Another process of the same dispatcher may
// listen there as well; what arrives goes to the one that came last.
func Datagrams(a netip.AddrPort) (int, error) {
	sa, family := sockaddr(a)
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		err = unix.Bind(fd, sa)
	}
	if err != nil {
		unix.Close(fd)
		return -1, fmt.Errorf("datagrams at %s: %w", a, err)
	}
	return fd, nil
}

// SendTo sends a datagram whole or not at all.
func SendTo(fd int, data []byte, to netip.AddrPort) error {
	sa, _ := sockaddr(to)
	switch err := unix.Sendto(fd, data, 0, sa); err {
	case nil:
		return nil
	case unix.EAGAIN, unix.EINTR, unix.ENOBUFS:
		return ErrWait
	default:
		return os.NewSyscallError("sendto", err)
	}
}

// ReceiveFrom reads one datagram, cut to the buffer's length.
func ReceiveFrom(fd int, into []byte) (int, netip.AddrPort, error) {
	n, sa, err := unix.Recvfrom(fd, into, 0)
	if err != nil {
		return 0, netip.AddrPort{}, ErrWait
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return n, netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)), nil
	case *unix.SockaddrInet6:
		return n, netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), uint16(sa.Port)), nil
	}
	return n, netip.AddrPort{}, nil
}

// Close closes a socket that is in no loop.
func Close(fd int) { unix.Close(fd) }
