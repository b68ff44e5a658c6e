// Package registry is a stand-in for discovery, written from the protocol: it serves the whole list, watches and
// notices over loopback sockets to one agent address for each relay, counts what it is asked and what it sends,
// and can be cut from any of the relays, refuse, fall silent, be slow, late or torn, and move.
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

// Paths and times of the protocol.
const (
	listPath   = "/registry/instances"
	noticePath = "/reports"
	beatEvery  = 2 * time.Second // an empty line on a watch on which nothing changes
	noticeMost = 1 << 20         // bytes of a notice request that are read
)

// Fault is what is wrong between a relay and discovery.
type Fault uint8

// Faults.
const (
	None        Fault = iota
	Refused           // open connections are reset, new ones refused
	Silent            // nothing is answered; what is open then is answered when the fault is over
	Lost              // nothing is answered, and what was asked meanwhile never is
	Unavailable       // everything new is answered 503
	Torn              // every list is cut in the middle of a line, its connection closed
	numFaults
)

var faultNames = [numFaults]string{"none", "refused", "silent", "lost", "unavailable", "torn"}

func (f Fault) String() string { return faultNames[f] }

// FaultNamed finds a fault by its name.
func FaultNamed(name string) (Fault, error) {
	for i, n := range faultNames {
		if n == name {
			return Fault(i), nil
		}
	}
	return None, fmt.Errorf("fault %q, want one of %v", name, faultNames)
}

// Condition is how a relay's way to discovery is.
type Condition struct {
	Fault Fault
	Delay time.Duration // before each answer begins
	Rate  int           // bytes a second of an answer; 0 for no limit
	Lag   time.Duration // how old what the agent knows is
}

// Count is what was asked and sent.
type Count struct {
	Conns       int   `json:"conns"`   // connections that came up
	Lists       int   `json:"lists"`   // askings for the whole list
	Watches     int   `json:"watches"` // watches opened
	Notices     int   `json:"notices"` // requests with notices
	Unanswered  int   `json:"unanswered"`
	Errors      int   `json:"errors"`       // answered 503
	ListBytes   int64 `json:"list_bytes"`   // of whole lists that were asked for
	FirstBytes  int64 `json:"first_bytes"`  // of first lines of watches
	ChangeBytes int64 `json:"change_bytes"` // of later ones
	BeatBytes   int64 `json:"beat_bytes"`   // of empty ones
	SentBytes   int64 `json:"sent_bytes"`   // on the sockets, with all headers
	ReadBytes   int64 `json:"read_bytes"`
}

// Asked is the number of askings of a list.
func (c Count) Asked() int { return c.Lists + c.Watches }

func (c *Count) add(x *Count) {
	c.Conns += x.Conns
	c.Lists += x.Lists
	c.Watches += x.Watches
	c.Notices += x.Notices
	c.Unanswered += x.Unanswered
	c.Errors += x.Errors
	c.ListBytes += x.ListBytes
	c.FirstBytes += x.FirstBytes
	c.ChangeBytes += x.ChangeBytes
	c.BeatBytes += x.BeatBytes
	c.SentBytes += x.SentBytes
	c.ReadBytes += x.ReadBytes
}

// Registry serves a catalog.
type Registry struct {
	catalog *Catalog
	began   time.Time
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	seconds []Count // since began
}

// New makes a registry for a catalog; Close ends it.
func New(c *Catalog) *Registry {
	r := &Registry{catalog: c, began: time.Now()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second,
		BaseContext: func(l net.Listener) context.Context {
			return context.WithValue(r.ctx, agentKey{}, l.(*listener).agent)
		}}
	return r
}

// Close ends the registry and all its agents.
func (r *Registry) Close() error {
	r.cancel()
	return r.server.Close()
}

// Catalog is what is served.
func (r *Registry) Catalog() *Catalog { return r.catalog }

// Seconds are the counts of each second since the registry was made.
func (r *Registry) Seconds() []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Count(nil), r.seconds...)
}

// Total is the sum of all seconds from one on.
func (r *Registry) Total(from int) (sum Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := max(from, 0); i < len(r.seconds); i++ {
		sum.add(&r.seconds[i])
	}
	return sum
}

// Second is the number of the second that runs now.
func (r *Registry) Second() int { return int(time.Since(r.began) / time.Second) }

func (r *Registry) count(f func(*Count)) {
	at := r.Second()
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.seconds) <= at {
		r.seconds = append(r.seconds, Count{})
	}
	f(&r.seconds[at])
}

type agentKey struct{}

// Agent is the address at which one relay reaches discovery.
type Agent struct {
	registry *Registry
	addr     string

	mu        sync.Mutex
	condition Condition
	changed   chan struct{} // closed when the condition changes
	listener  *listener     // nil while refused
	conns     map[*conn]bool
}

// NewAgent opens an address for a relay; an empty one means a free port of 127.0.0.1.
func (r *Registry) NewAgent(addr string) (*Agent, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	a := &Agent{registry: r, addr: addr, changed: make(chan struct{}), conns: map[*conn]bool{}}
	return a, a.open()
}

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

// Addr is where the relay reaches it, also while it refuses.
func (a *Agent) Addr() string { return a.addr }

// Condition is how the way to discovery is.
func (a *Agent) Condition() Condition {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.condition
}

// Set changes how the way to discovery is.
func (a *Agent) Set(c Condition) error {
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
		for x := range a.conns {
			x.reset()
		}
		return nil
	}
	if a.listener == nil {
		return a.open()
	}
	return nil
}

// Reset ends the connections that are open, as a restart of the relay's machine or agent does.
func (a *Agent) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for x := range a.conns {
		x.reset()
	}
}

func (a *Agent) now() (Condition, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.condition, a.changed
}

// listener counts what comes and goes.
type listener struct {
	net.Listener
	agent *Agent
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &conn{Conn: c, agent: l.agent}
	l.agent.mu.Lock()
	l.agent.conns[x] = true
	l.agent.mu.Unlock()
	l.agent.registry.count(func(n *Count) { n.Conns++ })
	return x, nil
}

type conn struct {
	net.Conn
	agent  *Agent
	closed atomic.Bool
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.agent.registry.count(func(x *Count) { x.ReadBytes += int64(n) })
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.agent.registry.count(func(x *Count) { x.SentBytes += int64(n) })
	return n, err
}

func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		go func() { // the caller may hold the lock
			c.agent.mu.Lock()
			delete(c.agent.conns, c)
			c.agent.mu.Unlock()
		}()
	}
	return c.Conn.Close()
}

func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

var (
	errTorn = errors.New("registry: cut here")
	errGone = errors.New("registry: never answered")
)

// serve answers one request.
func (r *Registry) serve(w http.ResponseWriter, q *http.Request) {
	a := q.Context().Value(agentKey{}).(*Agent)
	switch {
	case q.Method == http.MethodPost && q.URL.Path == noticePath: // taken even while discovery is down
		io.Copy(io.Discard, io.LimitReader(q.Body, noticeMost))
		r.count(func(c *Count) { c.Notices++ })
		w.WriteHeader(http.StatusNoContent)
		return
	case q.Method != http.MethodGet || q.URL.Path != listPath:
		http.NotFound(w, q)
		return
	}
	watch := q.URL.Query().Get("watch") != ""
	from, err := strconv.ParseInt(q.URL.Query().Get("from"), 10, 64)
	if err != nil && watch {
		from = 0 // then the whole list comes
	}
	r.count(func(c *Count) {
		if watch {
			c.Watches++
		} else {
			c.Lists++
		}
	})
	if err := a.await(q.Context()); err != nil {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	if a.Condition().Fault == Unavailable {
		r.count(func(c *Count) { c.Errors++ })
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out := &answer{agent: a, to: w, ctx: q.Context()}
	out.buf = bufio.NewWriterSize(out, 32<<10)
	if watch {
		err = r.watch(out, from)
	} else {
		rev, _ := r.catalog.at(a.Condition().Lag)
		err = r.whole(out, rev, func(c *Count) *int64 { return &c.ListBytes })
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// await holds a request until it may be answered, or for ever.
func (a *Agent) await(ctx context.Context) error {
	counted, lost := false, false
	for {
		c, changed := a.now()
		lost = lost || c.Fault == Lost
		if !lost && c.Fault != Silent {
			if c.Delay > 0 {
				select {
				case <-time.After(c.Delay):
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			return nil
		}
		if !counted {
			counted = true
			a.registry.count(func(c *Count) { c.Unanswered++ })
		}
		if lost {
			<-ctx.Done()
			return errGone
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// answer writes a body under the agent's condition.
type answer struct {
	agent *Agent
	to    http.ResponseWriter
	ctx   context.Context
	buf   *bufio.Writer
}

func (o *answer) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		c, _ := o.agent.now()
		part := b[done:]
		if c.Rate > 0 { // a twentieth of a second at a time
			part = part[:min(len(part), max(c.Rate/20, 1))]
			select {
			case <-time.After(time.Duration(len(part)) * time.Second / time.Duration(c.Rate)):
			case <-o.ctx.Done():
				return done, o.ctx.Err()
			}
		}
		n, err := o.to.Write(part)
		if done += n; err != nil {
			return done, err
		}
	}
	return done, nil
}

func (o *answer) flush() error {
	if err := o.buf.Flush(); err != nil {
		return err
	}
	return http.NewResponseController(o.to).Flush()
}

// line writes one line, or half of it where lists are torn.
func (o *answer) line(b []byte) error {
	if o.agent.Condition().Fault == Torn {
		o.buf.Write(b[:len(b)/2])
		o.flush()
		return errTorn
	}
	if _, err := o.buf.Write(b); err != nil {
		return err
	}
	return o.flush()
}

// whole writes the list as of a revision.
func (r *Registry) whole(o *answer, revision int64, to func(*Count) *int64) error {
	half, written := r.catalog.Len()/2/batch, 0
	err := r.catalog.whole(revision, func(b []byte) error {
		if written++; written > half && o.agent.Condition().Fault == Torn {
			o.buf.Write(b[:len(b)/2])
			o.flush()
			return errTorn
		}
		n, err := o.buf.Write(b)
		r.count(func(c *Count) { *to(c) += int64(n) })
		return err
	})
	if err != nil {
		return err
	}
	return o.flush()
}

// watch writes the changes after a revision, and then all further ones, until the connection ends.
func (r *Registry) watch(o *answer, from int64) error {
	beat := time.NewTimer(beatEvery)
	defer beat.Stop()
	at, first := from, true
	for {
		if err := o.agent.await(o.ctx); err != nil {
			return err
		}
		cond, changed := o.agent.now()
		rev, news := r.catalog.at(cond.Lag)
		if first || rev > at {
			line, ok := r.catalog.since(at, rev)
			var err error
			if ok {
				err = o.line(line)
				r.count(func(c *Count) {
					if first {
						c.FirstBytes += int64(len(line))
					} else {
						c.ChangeBytes += int64(len(line))
					}
				})
			} else {
				err = r.whole(o, rev, func(c *Count) *int64 { return &c.FirstBytes })
			}
			if err != nil {
				return err
			}
			at, first = rev, false
			beat.Reset(beatEvery)
		}
		var late <-chan time.Time
		if cond.Lag > 0 {
			late = time.After(lateStep)
		}
		select {
		case <-o.ctx.Done():
			return o.ctx.Err()
		case <-news:
		case <-changed:
		case <-late:
		case <-beat.C:
			if err := o.agent.await(o.ctx); err != nil {
				return err
			}
			if err := o.line([]byte{'\n'}); err != nil {
				return err
			}
			r.count(func(c *Count) { c.BeatBytes++ })
			beat.Reset(beatEvery)
		}
	}
}

// lateStep is how often an agent that lags looks whether something is old enough.
const lateStep = 50 * time.Millisecond
