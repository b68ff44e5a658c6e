// Package partner stands in for the destinations that relays send to: as a server on a loopback socket for relays
// that are processes, and as a model without sockets for relays that are simulated.
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

// Response configures how a server replies to a call. The zero value accepts the message at once.
type Response struct {
	RetryAfter time.Duration // rejects the call with this Retry-After; 0 for no rejection
	Hang       bool          // no reply until the caller gives up
	Delay      time.Duration // delay before the reply
}

// Server receives calls of one message each.
type Server struct {
	Calls  atomic.Int64 // calls received
	Served atomic.Int64 // calls whose message was accepted
	server *http.Server
	addr   string

	mu       sync.Mutex
	response Response
}

// NewServer starts a server at a free port of 127.0.0.1.
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

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.addr }

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.server.Close() }

// SetResponse sets the response to calls from now on.
func (s *Server) SetResponse(response Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response = response
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	s.Calls.Add(1)
	s.mu.Lock()
	response := s.response
	s.mu.Unlock()
	if response.Delay > 0 {
		time.Sleep(response.Delay)
	}
	switch {
	case response.Hang:
		<-r.Context().Done()
	case response.RetryAfter > 0:
		w.Header().Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		s.Served.Add(1)
	}
}
