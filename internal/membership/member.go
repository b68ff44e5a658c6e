// Package membership holds discovery's list: which endpoints each destination
// has. The list is read as a stream and kept packed, a few tens of bytes an
// endpoint, so that one relay can know far more destinations than it ever has
// messages for.
package membership

import (
	"errors"
	"fmt"
	"math"
	"net"
)

// Phase is what the list says of an endpoint.
type Phase uint8

// Phases; the list names them by the words up, draining and removed.
const (
	NoPhase Phase = iota
	Up
	Draining
	Removed
)

var phases = [...]string{Up: "up", Draining: "draining", Removed: "removed"}

func (p Phase) String() string { return phases[p] }

// phaseOf maps the list's word; NoPhase for one that there is not.
func phaseOf(word []byte) Phase {
	for p := Up; p <= Removed; p++ {
		if string(word) == phases[p] {
			return p
		}
	}
	return NoPhase
}

// Member is an entry of the list as JSON.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"` // the destination
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"` // calls a second that the destination takes
}

// List is discovery's list, or what changed in it, as JSON.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Entry is an entry of the list as it is read; its bytes are good until the next one.
type Entry struct {
	ID       []byte
	HostPort []byte
	Locality []byte
	Flavor   []byte
	Dest     int64
	Phase    Phase
	Rate     float64

	ip     [4]byte // HostPort, where packed is set
	port   uint16
	packed bool
}

// check tells of an entry that cannot be.
func (e *Entry) check() error {
	e.pack()
	switch {
	case len(e.ID) == 0:
		return errors.New("member without id")
	case len(e.ID) > idMost || len(e.HostPort) > idMost || len(e.Locality) > idMost || len(e.Flavor) > idMost:
		return fmt.Errorf("member %.40s: a text of over %d bytes", e.ID, idMost)
	case e.Phase == NoPhase:
		return fmt.Errorf("member %s: unknown phase", e.ID)
	case e.Phase == Removed:
		return nil
	case e.Dest < 0 || e.Dest > math.MaxUint32:
		return fmt.Errorf("member %s: cell: %d, want 0 to %d", e.ID, e.Dest, uint32(math.MaxUint32))
	}
	if e.packed {
		return nil
	}
	if _, _, err := net.SplitHostPort(string(e.HostPort)); err != nil {
		return fmt.Errorf("member %s: host_port: %w", e.ID, err)
	}
	return nil
}

func (e *Entry) pack() { e.ip, e.port, e.packed = packAddr(e.HostPort) }

// idMost bounds each text of an entry, in bytes.
const idMost = 1 << 10

// Entry gives the entry that a member is; Check tells whether it can be.
func (m *Member) Entry() *Entry {
	e := &Entry{ID: []byte(m.ID), HostPort: []byte(m.HostPort), Locality: []byte(m.Locality), Flavor: []byte(m.Flavor),
		Dest: int64(m.Cell), Phase: phaseOf([]byte(m.Phase)), Rate: m.Size}
	e.pack()
	return e
}

// Check tells of a member that cannot be.
func (m *Member) Check() error { return m.Entry().check() }
