package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
)

// This file has a listener, a dialer and a connection that fail according to a schedule. They replace those of the
// system: clients.serve takes a net.Listener, and hostPool.dial returns a net.Conn.

// acceptErrnos are the temporary errors of accept.
var acceptErrnos = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.EINTR, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EAGAIN}

// localErrnos are the errors of socket, bind and connect that this machine causes.
var localErrnos = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EPROTO, syscall.EINTR, syscall.EAGAIN, syscall.EACCES, syscall.EPERM,
	syscall.ENETDOWN, syscall.EADDRINUSE}

// remoteErrnos are the errors of connect that the peer or the network causes.
var remoteErrnos = []syscall.Errno{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}

// brokenErrnos are the errors of reads and writes on a broken connection.
var brokenErrnos = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.EPIPE, syscall.ECONNRESET}

// transientErrnos are the errors of reads and writes on an intact connection.
var transientErrnos = []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR}

// opError returns an errno as the net package reports it.
func opError(operation, call string, errno syscall.Errno) error {
	return &net.OpError{Op: operation, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// faultSchedule determines which system calls fail: a number of consecutive ones, from first on.
type faultSchedule struct {
	first, failures int // the first call is number 0; none fail where calls is 0
	errno           syscall.Errno

	mu    sync.Mutex
	calls int
}

// next counts a system call and reports whether it fails.
func (s *faultSchedule) next() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := s.calls
	s.calls++
	return number >= s.first && number < s.first+s.failures
}

func (s *faultSchedule) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// faultyListener fails Accept at once while failing is set.
type faultyListener struct {
	net.Listener
	mu      sync.Mutex
	failing syscall.Errno // 0 for none
	failed  int
}

func (l *faultyListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	errno := l.failing
	if errno != 0 {
		l.failed++
	}
	l.mu.Unlock()
	if errno != 0 {
		return nil, opError("accept", "accept4", errno)
	}
	return l.Listener.Accept()
}

func (l *faultyListener) fail(errno syscall.Errno) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = errno
}

func (l *faultyListener) failures() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// failingDial wraps a dial function so that it fails according to a schedule.
func failingDial(dial func(context.Context, string) (net.Conn, error), s *faultSchedule) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		if s.next() {
			return nil, opError("dial", "connect", s.errno)
		}
		return dial(ctx, addr)
	}
}

// faultyConn shortens reads and fails reads and writes according to a schedule. It passes everything else to the
// connection that it embeds.
type faultyConn struct {
	*net.TCPConn
	maxRead       int            // limit of the bytes that one read returns; 0 for none
	reads         *faultSchedule // failures of reads; nil for none
	failWriteAt   int            // number of written bytes after which a write fails with writeErrno
	writeErrno    syscall.Errno
	writeFailures int        // number of writes that fail
	readSizes     *rand.Rand // if set, the sizes of reads are random
	mu            sync.Mutex
	written       int
	failedWrites  int
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.reads != nil && c.reads.next() {
		return 0, opError("read", "read", c.reads.errno)
	}
	limit := c.maxRead
	if c.readSizes != nil {
		limit = 1 + c.readSizes.IntN(7)
	}
	if limit > 0 {
		b = b[:min(len(b), limit)]
	}
	return c.TCPConn.Read(b)
}

func (c *faultyConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErrno == 0 || c.failedWrites == c.writeFailures || c.written+len(b) <= c.failWriteAt {
		n, err := c.TCPConn.Write(b)
		c.written += n
		return n, err
	}
	n, err := c.TCPConn.Write(b[:c.failWriteAt-c.written])
	c.written += n
	c.failedWrites++
	if err == nil {
		err = opError("write", "write", c.writeErrno)
	}
	return n, err
}

// wrappingListener passes each connection that it accepts to wrap.
type wrappingListener struct {
	net.Listener
	wrap func(*net.TCPConn) net.Conn
}

func (l *wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn.(*net.TCPConn)), nil
}

// listenLocal listens on a free port until the test ends.
func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Guards that the injected faults match those of the system: they unwrap to an errno, and bytes that were written
// before an error are counted.
func TestInjectedFaultsMatchSystemErrors(t *testing.T) {
	ln := listenLocal(t)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	faulty := &faultyConn{TCPConn: conn.(*net.TCPConn), failWriteAt: 3, writeErrno: syscall.EPIPE, writeFailures: 1}
	if n, err := faulty.Write([]byte("abcde")); n != 3 || !errors.Is(err, syscall.EPIPE) {
		t.Errorf("Write: got %d bytes, error %v, want 3 and EPIPE", n, err)
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(other, got); err != nil || string(got) != "abc" {
		t.Errorf("bytes that the peer received: got %q, error %v, want abc", got, err)
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
