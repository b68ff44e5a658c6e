package registry

import (
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Phase is the state of an endpoint in the list.
type Phase uint8

// Phases of an endpoint.
const (
	Up Phase = iota
	Draining
	Removed // only in changes: the full list omits the endpoint
)

func (p Phase) String() string { return [...]string{"up", "draining", "removed"}[p] }

// Spec describes the destinations of a catalog. All entries are derived from the spec, so a list of any length takes
// no memory until an entry in it changes.
type Spec struct {
	Destinations int
	Endpoints    int // per destination; 0 means 2
	Seed         uint64
	Shuffled     bool                                // the list is in a pseudo-random order rather than by destination
	Localities   []string                            // assigned to the endpoints in turn; none means "a", "b"
	Flavors      []string                            // assigned to the destinations in turn; none means "k"
	Rate         int                                 // capacity of an endpoint in calls per second; 0 means 1000
	Addr         func(index, incarnation int) string // nil means an address in 10.0.0.0/8
}

// Change is a change of one endpoint.
type Change struct {
	Index       int // of the endpoint: destination * Spec.Endpoints + the endpoint's index within the destination
	Incarnation int // 0 at first; each replacement adds one and gets a new id
	Phase       Phase
}

// appliedChange is a change with the revision that contains it and the time of that revision.
type appliedChange struct {
	Change
	revision int64
	at       time.Time
}

// firstRevision is the revision of a catalog without changes.
const firstRevision = 1

// Catalog is the list of all endpoints with its history of changes. It is safe for concurrent use.
type Catalog struct {
	spec        Spec
	orderStride int // of the shuffled order, coprime to the number of endpoints; 1 for the order by destination

	mu                sync.RWMutex
	history           []appliedChange // ordered by revision
	historyByEndpoint map[int][]int   // indexes in history by endpoint
	changed           chan struct{}   // closed at the next change
	deltaLines        map[int64][]byte
	latest            int64
	oldest            int64 // a watch from an earlier revision gets the full list
}

// NewCatalog creates a catalog from its spec. An error names the field that is not valid.
func NewCatalog(spec Spec) (*Catalog, error) {
	if spec.Endpoints == 0 {
		spec.Endpoints = 2
	}
	if spec.Destinations < 1 || spec.Endpoints < 1 {
		return nil, fmt.Errorf("destinations: %d of %d endpoints each, want 1 or more",
			spec.Destinations, spec.Endpoints)
	}
	if len(spec.Localities) == 0 {
		spec.Localities = []string{"a", "b"}
	}
	if len(spec.Flavors) == 0 {
		spec.Flavors = []string{"k"}
	}
	if spec.Rate == 0 {
		spec.Rate = 1000
	}
	catalog := &Catalog{spec: spec, orderStride: 1, historyByEndpoint: map[int][]int{},
		changed: make(chan struct{}), deltaLines: map[int64][]byte{}, latest: firstRevision, oldest: firstRevision}
	if spec.Shuffled {
		n := catalog.Len()
		for catalog.orderStride = int(spec.Seed%uint64(n))*2/3 +
			n/3; gcd(catalog.orderStride, n) != 1; catalog.orderStride++ {
		}
	}
	return catalog, nil
}

// gcd returns the greatest common divisor.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Len returns the number of endpoints, without replacements.
func (c *Catalog) Len() int { return c.spec.Destinations * c.spec.Endpoints }

// Destinations returns the number of destinations.
func (c *Catalog) Destinations() int { return c.spec.Destinations }

// Revision returns the latest revision.
func (c *Catalog) Revision() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.latest
}

// Apply makes changes in one new revision, and returns that revision.
func (c *Catalog) Apply(changes ...Change) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest++
	now := time.Now()
	for _, change := range changes {
		c.historyByEndpoint[change.Index] = append(c.historyByEndpoint[change.Index], len(c.history))
		c.history = append(c.history, appliedChange{change, c.latest, now})
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return c.latest
}

// Replace replaces the newest incarnation of an endpoint by a new one, and returns the revision that does so.
func (c *Catalog) Replace(index int) int64 {
	c.mu.RLock()
	incarnation := 0
	for _, at := range c.historyByEndpoint[index] {
		incarnation = max(incarnation, c.history[at].Incarnation)
	}
	c.mu.RUnlock()
	return c.Apply(Change{index, incarnation, Removed}, Change{index, incarnation + 1, Up})
}

// revisionAt returns the revision that was the latest one lag ago, and a channel that is closed at the next change.
func (c *Catalog) revisionAt(lag time.Duration) (int64, <-chan struct{}) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if lag <= 0 {
		return c.latest, c.changed
	}
	then := time.Now().Add(-lag)
	i := sort.Search(len(c.history), func(i int) bool { return c.history[i].at.After(then) })
	if i == 0 {
		return firstRevision, c.changed
	}
	return c.history[i-1].revision, c.changed
}

// appendMember appends the entry of an endpoint as JSON.
func (c *Catalog) appendMember(b []byte, change Change) []byte {
	spec := &c.spec
	dest := change.Index / spec.Endpoints
	b = append(b, `{"id":"`...)
	b = c.appendID(b, change)
	b = append(b, `","host_port":"`...)
	if spec.Addr != nil {
		b = append(b, spec.Addr(change.Index, change.Incarnation)...)
	} else {
		n := change.Index + change.Incarnation*c.Len()
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
	b = append(b, spec.Localities[change.Index%len(spec.Localities)]...)
	b = append(b, `","flavor":"`...)
	b = append(b, spec.Flavors[dest%len(spec.Flavors)]...)
	b = append(b, `","cell":`...)
	b = strconv.AppendInt(b, int64(dest), 10)
	b = append(b, `,"phase":"`...)
	b = append(b, change.Phase.String()...)
	b = append(b, `","size":`...)
	b = strconv.AppendInt(b, int64(spec.Rate), 10)
	return append(b, `.0,"up_since_ms":0}`...)
}

// appendID appends the id of an endpoint's incarnation. The first 2^32 incarnations have different ids.
func (c *Catalog) appendID(b []byte, change Change) []byte {
	n := uint32(change.Index+change.Incarnation*c.Len())*2654435761 + uint32(c.spec.Seed)
	b = append(b, "s-"...)
	for shift := 28; shift >= 0; shift -= 4 {
		b = append(b, "0123456789abcdef"[n>>shift&15])
	}
	return b
}

// appendListHeader appends the part of a list that precedes the entries.
func appendListHeader(b []byte, revision int64, complete bool) []byte {
	b = append(b, `{"revision":`...)
	b = strconv.AppendInt(b, revision, 10)
	b = append(b, `,"complete":`...)
	b = strconv.AppendBool(b, complete)
	return append(b, `,"members":[`...)
}

// listTail follows the entries of a list.
const listTail = "]}\n"

// entriesPerWrite is the number of entries of a full list that are encoded under one lock and written at once.
const entriesPerWrite = 512

// writeFullList writes the list as of a revision. It is a single line, which is written in several pieces.
func (c *Catalog) writeFullList(revision int64, write func([]byte) error) error {
	b := appendListHeader(nil, revision, true)
	first := true
	var list []Change
	total := c.Len()
	for from := 0; from < total; from += entriesPerWrite {
		c.mu.RLock()
		for i := from; i < min(from+entriesPerWrite, total); i++ {
			index := i * c.orderStride % total
			list = append(list[:0], Change{Index: index})
			if places := c.historyByEndpoint[index]; len(places) > 0 {
				list = c.appendListed(list[:0], index, revision)
			}
			for _, change := range list {
				if !first {
					b = append(b, ',')
				}
				first = false
				b = c.appendMember(b, change)
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

// appendListed appends the incarnations of an endpoint that are listed as of a revision. The caller must hold the
// lock.
func (c *Catalog) appendListed(list []Change, index int, revision int64) []Change {
	phases := map[int]Phase{0: Up}
	newest := 0
	for _, at := range c.historyByEndpoint[index] {
		if e := &c.history[at]; e.revision <= revision {
			phases[e.Incarnation] = e.Phase
			newest = max(newest, e.Incarnation)
		}
	}
	for i := range newest + 1 {
		if p, ok := phases[i]; ok && p != Removed {
			list = append(list, Change{index, i, p})
		}
	}
	return list
}

// deltaLine returns the line with the changes after one revision up to another: the last change of each incarnation,
// in order. It returns false if the catalog has no history since the revision from.
func (c *Catalog) deltaLine(from, to int64) (line []byte, ok bool) {
	c.mu.RLock()
	line = c.deltaLines[to]
	single := from == to-1
	if single && line != nil && from >= c.oldest {
		c.mu.RUnlock()
		return line, true
	}
	if from < c.oldest || from > to {
		c.mu.RUnlock()
		return nil, false
	}
	start := sort.Search(len(c.history), func(i int) bool { return c.history[i].revision > from })
	end := sort.Search(len(c.history), func(i int) bool { return c.history[i].revision > to })
	last := map[[2]int]int{}
	for i := start; i < end; i++ {
		last[[2]int{c.history[i].Index, c.history[i].Incarnation}] = i
	}
	line = appendListHeader(nil, to, false)
	first := true
	for i := start; i < end; i++ {
		change := c.history[i].Change
		if last[[2]int{change.Index, change.Incarnation}] != i {
			continue
		}
		if !first {
			line = append(line, ',')
		}
		first = false
		line = c.appendMember(line, change)
	}
	line = append(line, listTail...)
	c.mu.RUnlock()
	if single { // cached because every watching relay gets the same line
		c.mu.Lock()
		if len(c.deltaLines) >= maxDeltaLines {
			clear(c.deltaLines)
		}
		c.deltaLines[to] = line
		c.mu.Unlock()
	}
	return line, true
}

// maxDeltaLines is the largest number of delta lines in the cache.
const maxDeltaLines = 64

// DropHistory makes a new revision, which becomes the oldest from which a watch can continue: a watch from an earlier
// revision gets the full list.
func (c *Catalog) DropHistory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest++
	c.oldest = c.latest
}
