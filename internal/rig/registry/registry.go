// Package registry is a stand-in for service discovery that implements its protocol. Each relay reaches it through
// an agent, which has an address of its own on the loopback interface and serves full lists, watches and notices. The
// registry counts requests and bytes. Each agent can be given a fault, such as refused connections or torn replies, a
// limited rate, a delay, or an outdated list.
package registry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Paths, intervals and limits of the protocol.
const (
	listPath          = "/registry/instances"
	noticePath        = "/reports"
	keepAliveInterval = 2 * time.Second // interval of empty lines on a watch without changes
	maxNoticeBytes    = 1 << 20         // read limit for the body of a notice request
)

// Fault is a fault between a relay and discovery.
type Fault uint8

// Kinds of fault.
const (
	None        Fault = iota // no fault
	Refused                  // open connections are reset, new connections are refused
	Silent                   // no replies; pending requests get their replies when the fault ends
	Lost                     // no replies, also after the fault for requests that arrived during it
	Unavailable              // new requests get status 503
	Torn                     // every list ends in the middle of a line, and its connection is closed
	numFaults
)

var faultNames = [numFaults]string{"none", "refused", "silent", "lost", "unavailable", "torn"}

func (f Fault) String() string { return faultNames[f] }

// ParseFault returns the fault with the given name.
func ParseFault(name string) (Fault, error) {
	for i, n := range faultNames {
		if n == name {
			return Fault(i), nil
		}
	}
	return None, fmt.Errorf("unknown fault %q, want one of %v", name, faultNames)
}

// Condition is the state of the path between a relay and discovery.
type Condition struct {
	Fault Fault
	Delay time.Duration // before each reply
	Rate  int           // bytes per second of a reply; 0 for no limit
	Lag   time.Duration // age of the list that the agent serves
}

// Count counts requests, replies and bytes.
type Count struct {
	Conns          int   `json:"conns"`        // accepted connections
	Lists          int   `json:"lists"`        // requests for the full list
	Watches        int   `json:"watches"`      // watches opened
	Notices        int   `json:"notices"`      // requests that carried notices
	Unanswered     int   `json:"unanswered"`   // requests that a fault kept waiting
	Errors         int   `json:"errors"`       // replies with status 503
	ListBytes      int64 `json:"list_bytes"`   // of full lists that were requested
	FirstLineBytes int64 `json:"first_bytes"`  // of the first lines of watches
	ChangeBytes    int64 `json:"change_bytes"` // of later lines of watches
	KeepAliveBytes int64 `json:"beat_bytes"`   // of empty lines of watches
	SentBytes      int64 `json:"sent_bytes"`   // on the sockets, including headers
	ReadBytes      int64 `json:"read_bytes"`
}

// ListRequests returns the number of requests for a list, including watches.
func (c Count) ListRequests() int { return c.Lists + c.Watches }

func (c *Count) add(other *Count) {
	c.Conns += other.Conns
	c.Lists += other.Lists
	c.Watches += other.Watches
	c.Notices += other.Notices
	c.Unanswered += other.Unanswered
	c.Errors += other.Errors
	c.ListBytes += other.ListBytes
	c.FirstLineBytes += other.FirstLineBytes
	c.ChangeBytes += other.ChangeBytes
	c.KeepAliveBytes += other.KeepAliveBytes
	c.SentBytes += other.SentBytes
	c.ReadBytes += other.ReadBytes
}

// Registry serves a catalog.
type Registry struct {
	catalog   *Catalog
	startedAt time.Time
	server    *http.Server
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	seconds []Count // counts by second since startedAt
}

// New creates a registry that serves a catalog until Close is called.
func New(c *Catalog) *Registry {
	r := &Registry{catalog: c, startedAt: time.Now()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second,
		BaseContext: func(l net.Listener) context.Context {
			return context.WithValue(r.ctx, agentKey{}, l.(*listener).agent)
		}}
	return r
}

// Close stops the registry and all its agents.
func (r *Registry) Close() error {
	r.cancel()
	return r.server.Close()
}

// Catalog returns the catalog that the registry serves.
func (r *Registry) Catalog() *Catalog { return r.catalog }

// CountsBySecond returns the counts of each second since the registry was created.
func (r *Registry) CountsBySecond() []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Count(nil), r.seconds...)
}

// Total returns the sum of the counts of the seconds from the given one on, which counts from 0.
func (r *Registry) Total(from int) (sum Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := max(from, 0); i < len(r.seconds); i++ {
		sum.add(&r.seconds[i])
	}
	return sum
}

// CurrentSecond returns the number of whole seconds since the registry was created.
func (r *Registry) CurrentSecond() int { return int(time.Since(r.startedAt) / time.Second) }

// addCount updates the counts of the current second.
func (r *Registry) addCount(update func(*Count)) {
	second := r.CurrentSecond()
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.seconds) <= second {
		r.seconds = append(r.seconds, Count{})
	}
	update(&r.seconds[second])
}

// agentKey is the context key of the agent that received a request.
type agentKey struct{}

// Agent serves discovery to one relay, at an address of its own.
type Agent struct {
	registry *Registry
	addr     string

	mu        sync.Mutex
	condition Condition
	changed   chan struct{} // closed at the next change of the condition
	listener  *listener     // nil while connections are refused
	conns     map[*conn]bool
}

// NewAgent creates an agent that listens at addr. An empty addr means a free port of 127.0.0.1.
func (r *Registry) NewAgent(addr string) (*Agent, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	a := &Agent{registry: r, addr: addr, changed: make(chan struct{}), conns: map[*conn]bool{}}
	return a, a.open()
}

// open starts to listen at the address of the agent.
func (a *Agent) open() error {
	l, err := net.Listen("tcp", a.addr)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	a.addr = l.Addr().String()
	a.listener = &listener{l, a}
	go a.registry.server.Serve(a.listener)
	return nil
}

// Addr returns the address of the agent, which stays the same while it refuses connections.
func (a *Agent) Addr() string { return a.addr }

// Condition returns the current condition.
func (a *Agent) Condition() Condition {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.condition
}

// SetCondition changes the condition. The change applies to open connections too.
func (a *Agent) SetCondition(c Condition) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.condition = c
	close(a.changed)
	a.changed = make(chan struct{})
	if c.Fault == Refused {
		if a.listener != nil {
			a.listener.Close()
			a.listener = nil
		}
		for connection := range a.conns {
			connection.reset()
		}
		return nil
	}
	if a.listener == nil {
		return a.open()
	}
	return nil
}

// Reset resets all open connections, as a restart of the relay's machine or of the agent does.
func (a *Agent) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for connection := range a.conns {
		connection.reset()
	}
}

// currentCondition returns the condition and a channel that is closed at its next change.
func (a *Agent) currentCondition() (Condition, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.condition, a.changed
}

// listener accepts connections to an agent and counts them.
type listener struct {
	net.Listener
	agent *Agent
}

func (l *listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: connection, agent: l.agent}
	l.agent.mu.Lock()
	l.agent.conns[accepted] = true
	l.agent.mu.Unlock()
	l.agent.registry.addCount(func(n *Count) { n.Conns++ })
	return accepted, nil
}

// conn counts the bytes on a connection to an agent.
type conn struct {
	net.Conn
	agent  *Agent
	closed atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.agent.registry.addCount(func(x *Count) { x.ReadBytes += int64(n) })
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.agent.registry.addCount(func(x *Count) { x.SentBytes += int64(n) })
	return n, err
}

func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		go func() { // in a goroutine, since the caller may hold the agent's lock
			c.agent.mu.Lock()
			delete(c.agent.conns, c)
			c.agent.mu.Unlock()
		}()
	}
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

var (
	errListTorn      = errors.New("registry: list torn by a fault")
	errNeverAnswered = errors.New("registry: request lost by a fault")
)

// serve replies to one request.
func (r *Registry) serve(w http.ResponseWriter, request *http.Request) {
	agent := request.Context().Value(agentKey{}).(*Agent)
	switch {
	case request.Method == http.MethodPost && request.URL.Path == noticePath: // also while lists are not served
		io.Copy(io.Discard, io.LimitReader(request.Body, maxNoticeBytes))
		r.addCount(func(c *Count) { c.Notices++ })
		w.WriteHeader(http.StatusNoContent)
		return
	case request.Method != http.MethodGet || request.URL.Path != listPath:
		http.NotFound(w, request)
		return
	}
	watch := request.URL.Query().Get("watch") != ""
	from, err := strconv.ParseInt(request.URL.Query().Get("from"), 10, 64)
	if err != nil && watch {
		from = 0 // leads to a full list
	}
	r.addCount(func(c *Count) {
		if watch {
			c.Watches++
		} else {
			c.Lists++
		}
	})
	if err := agent.waitUntilServing(request.Context()); err != nil {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	if agent.Condition().Fault == Unavailable {
		r.addCount(func(c *Count) { c.Errors++ })
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out := &responseBody{agent: agent, response: w, ctx: request.Context()}
	out.buf = bufio.NewWriterSize(out, 32<<10)
	if watch {
		err = r.serveWatch(out, from)
	} else {
		revision, _ := r.catalog.revisionAt(agent.Condition().Lag)
		err = r.writeFullList(out, revision, func(c *Count) *int64 { return &c.ListBytes })
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// waitUntilServing delays a request until the condition permits a reply, or until the request ends, in which case it
// returns an error. A request that arrives during the fault Lost is never permitted a reply, also after the fault.
func (a *Agent) waitUntilServing(ctx context.Context) error {
	counted, lost := false, false
	for {
		condition, changed := a.currentCondition()
		lost = lost || condition.Fault == Lost
		if !lost && condition.Fault != Silent {
			if condition.Delay > 0 {
				select {
				case <-time.After(condition.Delay):
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			return nil
		}
		if !counted {
			counted = true
			a.registry.addCount(func(counts *Count) { counts.Unanswered++ })
		}
		if lost {
			<-ctx.Done()
			return errNeverAnswered
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// responseBody writes the body of a reply at the rate of the agent's condition.
type responseBody struct {
	agent    *Agent
	response http.ResponseWriter
	ctx      context.Context
	buf      *bufio.Writer
}

func (o *responseBody) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		condition, _ := o.agent.currentCondition()
		part := b[written:]
		if condition.Rate > 0 { // the bytes of 50 ms at a time
			part = part[:min(len(part), max(condition.Rate/20, 1))]
			select {
			case <-time.After(time.Duration(len(part)) * time.Second / time.Duration(condition.Rate)):
			case <-o.ctx.Done():
				return written, o.ctx.Err()
			}
		}
		n, err := o.response.Write(part)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}

func (o *responseBody) flush() error {
	if err := o.buf.Flush(); err != nil {
		return err
	}
	return http.NewResponseController(o.response).Flush()
}

// writeLine writes one line, or the first half of it under the fault Torn.
func (o *responseBody) writeLine(b []byte) error {
	if o.agent.Condition().Fault == Torn {
		o.buf.Write(b[:len(b)/2])
		o.flush()
		return errListTorn
	}
	if _, err := o.buf.Write(b); err != nil {
		return err
	}
	return o.flush()
}

// writeFullList writes the list as of a revision and adds its bytes to a counter. Under the fault Torn it stops
// halfway.
func (r *Registry) writeFullList(out *responseBody, revision int64, counter func(*Count) *int64) error {
	tearAfter, written := r.catalog.Len()/2/entriesPerWrite, 0
	err := r.catalog.writeFullList(revision, func(b []byte) error {
		if written++; written > tearAfter && out.agent.Condition().Fault == Torn {
			out.buf.Write(b[:len(b)/2])
			out.flush()
			return errListTorn
		}
		n, err := out.buf.Write(b)
		r.addCount(func(c *Count) { *counter(c) += int64(n) })
		return err
	})
	if err != nil {
		return err
	}
	return out.flush()
}

// serveWatch writes the changes after a revision, and then each further change, until the connection ends.
func (r *Registry) serveWatch(out *responseBody, from int64) error {
	keepAlive := time.NewTimer(keepAliveInterval)
	defer keepAlive.Stop()
	sentRevision, first := from, true
	for {
		if err := out.agent.waitUntilServing(out.ctx); err != nil {
			return err
		}
		condition, conditionChanged := out.agent.currentCondition()
		revision, listChanged := r.catalog.revisionAt(condition.Lag)
		if first || revision > sentRevision {
			line, ok := r.catalog.deltaLine(sentRevision, revision)
			var err error
			if ok {
				err = out.writeLine(line)
				r.addCount(func(c *Count) {
					if first {
						c.FirstLineBytes += int64(len(line))
					} else {
						c.ChangeBytes += int64(len(line))
					}
				})
			} else {
				err = r.writeFullList(out, revision, func(c *Count) *int64 { return &c.FirstLineBytes })
			}
			if err != nil {
				return err
			}
			sentRevision, first = revision, false
			keepAlive.Reset(keepAliveInterval)
		}
		var lagPoll <-chan time.Time
		if condition.Lag > 0 {
			lagPoll = time.After(lagPollInterval)
		}
		select {
		case <-out.ctx.Done():
			return out.ctx.Err()
		case <-listChanged:
		case <-conditionChanged:
		case <-lagPoll:
		case <-keepAlive.C:
			if err := out.agent.waitUntilServing(out.ctx); err != nil {
				return err
			}
			if err := out.writeLine([]byte{'\n'}); err != nil {
				return err
			}
			r.addCount(func(c *Count) { c.KeepAliveBytes++ })
			keepAlive.Reset(keepAliveInterval)
		}
	}
}

// lagPollInterval is the interval at which a lagging agent checks for changes that are old enough to be served.
const lagPollInterval = 50 * time.Millisecond
