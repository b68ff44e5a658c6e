// Package partner stands in for the partner systems that relays send to: as a server on a loopback socket for
// relays that are processes, and as a model without sockets for hollow ones.
package partner

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a server says to a call; the zero value delivers it at once.
type Answer struct {
	Wait  time.Duration // turned away and told to wait so long; 0 for not
	Hang  bool          // nothing is said until the caller gives up
	Delay time.Duration // before the answer
}

// Server takes calls by the protocol, one message each.
type Server struct {
	Calls  atomic.Int64 // that have come
	Served atomic.Int64 // answered as delivered
	server *http.Server
	addr   string

	mu     sync.Mutex
	answer Answer
}

// NewServer listens at a free port of 127.0.0.1.
func NewServer() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{addr: l.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.server.Serve(l)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Close ends it and all connections to it.
func (s *Server) Close() error { return s.server.Close() }

// Set says what calls are answered from here on.
func (s *Server) Set(a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = a
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	s.Calls.Add(1)
	s.mu.Lock()
	a := s.answer
	s.mu.Unlock()
	if a.Delay > 0 {
		time.Sleep(a.Delay)
	}
	switch {
	case a.Hang:
		<-r.Context().Done()
	case a.Wait > 0:
		w.Header().Set("Retry-After", strconv.FormatFloat(a.Wait.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		s.Served.Add(1)
	}
}
