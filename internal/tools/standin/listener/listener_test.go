package listener

import (
	"net"
	"os"
	"testing"
	"time"
)

// A socket that a forked process still holds keeps its address for a moment: Listen waits for it.
func TestListenWaitsForAnInheritedSocket(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inherited := duplicate(t, first)
	address := first.Addr().String()
	first.Close()
	if l, err := net.Listen("tcp4", address); err == nil {
		l.Close()
		t.Fatal("the duplicate does not hold the address")
	}
	released := time.AfterFunc(20*retryInterval, func() { inherited.Close() })
	defer released.Stop()
	second, err := Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
}

// An address that cannot be had at all is an error at once.
func TestListenReportsOtherErrors(t *testing.T) {
	began := time.Now()
	if l, err := Listen("192.0.2.1:0"); err == nil {
		l.Close()
		t.Fatal("an address of another machine was bound")
	}
	if took := time.Since(began); took >= inheritedFor {
		t.Fatalf("it was tried for %v", took)
	}
}

// duplicate returns another descriptor of a listening socket, as a forked process has one.
func duplicate(t *testing.T, l net.Listener) *os.File {
	t.Helper()
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	return f
}
