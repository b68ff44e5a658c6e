package registry

import (
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Phase is what the list says of an endpoint.
type Phase uint8

// Phases of an endpoint.
const (
	Up Phase = iota
	Draining
	Removed // only among changes
)

func (p Phase) String() string { return [...]string{"up", "draining", "removed"}[p] }

// Spec says which destinations a catalog has. All that it lists follows from the spec, so a list of any length
// takes no memory until something in it changes.
type Spec struct {
	Destinations int
	Endpoints    int // of each destination; 0 means 2
	Seed         uint64
	Shuffled     bool                                // the list is in a drawn order, not by destination
	Localities   []string                            // dealt out by turns; none means "a", "b"
	Flavors      []string                            // likewise by destination; none means "k"
	Rate         int                                 // calls a second of an endpoint; 0 means 1000
	Addr         func(index, incarnation int) string // nil means an address in 10.0.0.0/8
}

// Change is news of one endpoint.
type Change struct {
	Index       int // of the endpoint: destination * endpoints of each + its place there
	Incarnation int // 0 for the first; each replacement counts one up and has an id of its own
	Phase       Phase
}

// edit is a change with the revision that brought it.
type edit struct {
	Change
	revision int64
	at       time.Time
}

// firstRevision is that of a catalog in which nothing has changed yet.
const firstRevision = 1

// Catalog is the list of all endpoints with its history. It is safe for use by several goroutines.
type Catalog struct {
	spec   Spec
	stride int // of the drawn order

	mu     sync.RWMutex
	edits  []edit        // in order; revision firstRevision+1+i at place i or later
	byEnd  map[int][]int // places in edits, by endpoint
	news   chan struct{} // closed at the next change
	lines  map[int64][]byte
	latest int64
	oldest int64 // a watch from before it gets the whole list
}

// NewCatalog makes a catalog from its spec; the error names the field.
func NewCatalog(s Spec) (*Catalog, error) {
	if s.Endpoints == 0 {
		s.Endpoints = 2
	}
	if s.Destinations < 1 || s.Endpoints < 1 {
		return nil, fmt.Errorf("destinations: %d of %d endpoints each, want 1 or more", s.Destinations, s.Endpoints)
	}
	if len(s.Localities) == 0 {
		s.Localities = []string{"a", "b"}
	}
	if len(s.Flavors) == 0 {
		s.Flavors = []string{"k"}
	}
	if s.Rate == 0 {
		s.Rate = 1000
	}
	c := &Catalog{spec: s, stride: 1, byEnd: map[int][]int{}, news: make(chan struct{}), lines: map[int64][]byte{},
		latest: firstRevision, oldest: firstRevision}
	if s.Shuffled {
		n := c.Len()
		for c.stride = int(s.Seed%uint64(n))*2/3 + n/3; gcd(c.stride, n) != 1; c.stride++ {
		}
	}
	return c, nil
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Len is the number of endpoints that the catalog began with.
func (c *Catalog) Len() int { return c.spec.Destinations * c.spec.Endpoints }

// Destinations is the number of destinations.
func (c *Catalog) Destinations() int { return c.spec.Destinations }

// Revision is the newest one.
func (c *Catalog) Revision() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.latest
}

// Apply makes changes under one new revision and returns it.
func (c *Catalog) Apply(changes ...Change) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest++
	now := time.Now()
	for _, x := range changes {
		c.byEnd[x.Index] = append(c.byEnd[x.Index], len(c.edits))
		c.edits = append(c.edits, edit{x, c.latest, now})
	}
	close(c.news)
	c.news = make(chan struct{})
	return c.latest
}

// Replace puts a new incarnation in the place of the one that an endpoint has, under one revision.
func (c *Catalog) Replace(index int) int64 {
	c.mu.RLock()
	old := 0
	for _, at := range c.byEnd[index] {
		old = max(old, c.edits[at].Incarnation)
	}
	c.mu.RUnlock()
	return c.Apply(Change{index, old, Removed}, Change{index, old + 1, Up})
}

// at is the revision that was the newest one lag ago, and a channel that is closed at the next change.
func (c *Catalog) at(lag time.Duration) (int64, <-chan struct{}) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if lag <= 0 {
		return c.latest, c.news
	}
	then := time.Now().Add(-lag)
	i := sort.Search(len(c.edits), func(i int) bool { return c.edits[i].at.After(then) })
	if i == 0 {
		return firstRevision, c.news
	}
	return c.edits[i-1].revision, c.news
}

// appendMember appends an endpoint's entry.
func (c *Catalog) appendMember(b []byte, x Change) []byte {
	s := &c.spec
	dest := x.Index / s.Endpoints
	b = append(b, `{"id":"`...)
	b = c.appendID(b, x)
	b = append(b, `","host_port":"`...)
	if s.Addr != nil {
		b = append(b, s.Addr(x.Index, x.Incarnation)...)
	} else {
		n := x.Index + x.Incarnation*c.Len()
		b = append(b, "10."...)
		b = strconv.AppendInt(b, int64(n>>16&255), 10)
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n>>8&255), 10)
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n&255), 10)
		b = append(b, ':')
		b = strconv.AppendInt(b, int64(6379+n>>24), 10)
	}
	b = append(b, `","locality":"`...)
	b = append(b, s.Localities[x.Index%len(s.Localities)]...)
	b = append(b, `","flavor":"`...)
	b = append(b, s.Flavors[dest%len(s.Flavors)]...)
	b = append(b, `","cell":`...)
	b = strconv.AppendInt(b, int64(dest), 10)
	b = append(b, `,"phase":"`...)
	b = append(b, x.Phase.String()...)
	b = append(b, `","size":`...)
	b = strconv.AppendInt(b, int64(s.Rate), 10)
	return append(b, `.0,"up_since_ms":0}`...)
}

// appendID appends an endpoint's name; no two of the first 2^32 incarnations share one.
func (c *Catalog) appendID(b []byte, x Change) []byte {
	n := uint32(x.Index+x.Incarnation*c.Len())*2654435761 + uint32(c.spec.Seed)
	b = append(b, "s-"...)
	for shift := 28; shift >= 0; shift -= 4 {
		b = append(b, "0123456789abcdef"[n>>shift&15])
	}
	return b
}

// appendHead appends what stands before the entries.
func appendHead(b []byte, revision int64, complete bool) []byte {
	b = append(b, `{"revision":`...)
	b = strconv.AppendInt(b, revision, 10)
	b = append(b, `,"complete":`...)
	b = strconv.AppendBool(b, complete)
	return append(b, `,"members":[`...)
}

const listTail = "]}\n"

// batch is how many entries of a list are made at a time.
const batch = 512

// whole writes the list as of a revision in pieces, one line in all.
func (c *Catalog) whole(revision int64, write func([]byte) error) error {
	b := appendHead(nil, revision, true)
	first := true
	var list []Change
	n := c.Len()
	for from := 0; from < n; from += batch {
		c.mu.RLock()
		for i := from; i < min(from+batch, n); i++ {
			index := i * c.stride % n
			list = append(list[:0], Change{Index: index})
			if places := c.byEnd[index]; len(places) > 0 {
				list = c.standing(list[:0], index, revision)
			}
			for _, x := range list {
				if !first {
					b = append(b, ',')
				}
				first = false
				b = c.appendMember(b, x)
			}
		}
		c.mu.RUnlock()
		if err := write(b); err != nil {
			return err
		}
		b = b[:0]
	}
	return write(append(b, listTail...))
}

// standing appends the incarnations of an endpoint as of a revision. The caller holds the lock.
func (c *Catalog) standing(list []Change, index int, revision int64) []Change {
	now := map[int]Phase{0: Up}
	most := 0
	for _, at := range c.byEnd[index] {
		if e := &c.edits[at]; e.revision <= revision {
			now[e.Incarnation] = e.Phase
			most = max(most, e.Incarnation)
		}
	}
	for i := range most + 1 {
		if p, ok := now[i]; ok && p != Removed {
			list = append(list, Change{index, i, p})
		}
	}
	return list
}

// since makes the line of what changed after one revision up to another: the last word on each incarnation, in
// order. It tells nothing where from is not a revision that the catalog has had.
func (c *Catalog) since(from, to int64) (line []byte, ok bool) {
	c.mu.RLock()
	line = c.lines[to]
	single := from == to-1
	if single && line != nil && from >= c.oldest {
		c.mu.RUnlock()
		return line, true
	}
	if from < c.oldest || from > to {
		c.mu.RUnlock()
		return nil, false
	}
	lo := sort.Search(len(c.edits), func(i int) bool { return c.edits[i].revision > from })
	hi := sort.Search(len(c.edits), func(i int) bool { return c.edits[i].revision > to })
	last := map[[2]int]int{}
	for i := lo; i < hi; i++ {
		last[[2]int{c.edits[i].Index, c.edits[i].Incarnation}] = i
	}
	line = appendHead(nil, to, false)
	first := true
	for i := lo; i < hi; i++ {
		x := c.edits[i].Change
		if last[[2]int{x.Index, x.Incarnation}] != i {
			continue
		}
		if !first {
			line = append(line, ',')
		}
		first = false
		line = c.appendMember(line, x)
	}
	line = append(line, listTail...)
	c.mu.RUnlock()
	if single { // the same line goes to every relay that follows
		c.mu.Lock()
		if len(c.lines) >= keptLines {
			clear(c.lines)
		}
		c.lines[to] = line
		c.mu.Unlock()
	}
	return line, true
}

// keptLines is how many lines are kept for those that ask for them next.
const keptLines = 64

// Forget drops what changed when: every watch from a version of before gets the whole list.
func (c *Catalog) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest++
	c.oldest = c.latest
}
