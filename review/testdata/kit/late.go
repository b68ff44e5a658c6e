package kit

import (
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// LateEndpoint is an endpoint whose new connections can come up late. It listens with the shortest queue; while it
// does not accept, one connection of its own fills the queue, so that the system ignores the first packet of a new
// connection, and the caller's system repeats that one second later.
type LateEndpoint struct {
	Addr     string
	listener *net.TCPListener
	mu       sync.Mutex
	paused   bool
	filler   net.Conn
}

// NewLateEndpoint starts the endpoint at a free port of 127.0.0.1.
func NewLateEndpoint(handler http.HandlerFunc) (*LateEndpoint, error) {
	e, l, err := LateListener()
	if err == nil {
		go (&http.Server{Handler: handler}).Serve(l)
	}
	return e, err
}

// LateListener returns the listener of an endpoint whose new connections can come up late.
func LateListener() (*LateEndpoint, net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	file := os.NewFile(uintptr(fd), "endpoint")
	defer file.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, nil, err
	}
	l, err := net.FileListener(file)
	if err != nil {
		return nil, nil, err
	}
	e := &LateEndpoint{Addr: l.Addr().String(), listener: l.(*net.TCPListener)}
	return e, lateListener{e}, nil
}

// Accept implements net.Listener.
func (e *LateEndpoint) Accept() (net.Conn, error) {
	for {
		e.mu.Lock()
		if !e.paused {
			e.listener.SetDeadline(time.Now().Add(5 * time.Millisecond))
			conn, err := e.listener.Accept()
			e.mu.Unlock()
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				continue
			}
			return conn, err
		}
		e.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// Close implements net.Listener.
func (e *LateEndpoint) Close() error { return e.listener.Close() }

// lateListener is the net.Listener of a LateEndpoint.
type lateListener struct{ *LateEndpoint }

// Addr implements net.Listener.
func (l lateListener) Addr() net.Addr { return l.listener.Addr() }

// SetLate makes new connections come up late, or ends that.
func (e *LateEndpoint) SetLate(late bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = late
	if !late {
		if e.filler != nil {
			e.filler.Close()
			e.filler = nil
		}
		return nil
	}
	conn, err := net.DialTimeout("tcp", e.Addr, time.Second)
	e.filler = conn
	return err
}
