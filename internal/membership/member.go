// Package membership holds the list of the discovery service, which names the endpoints of each destination. The list
// is read as a stream and stored in a few tens of bytes per endpoint, so that a relay can know far more destinations
// than it has messages for.
package membership

import (
	"errors"
	"fmt"
	"math"
	"net"
)

// Phase is the state of an endpoint in the list.
type Phase uint8

// Phases of an endpoint. The list has them as the strings up, draining and removed.
const (
	NoPhase Phase = iota
	Up
	Draining
	Removed
)

var phaseNames = [...]string{Up: "up", Draining: "draining", Removed: "removed"}

func (p Phase) String() string { return phaseNames[p] }

// parsePhase returns the phase with a name, or NoPhase if the name is unknown.
func parsePhase(name []byte) Phase {
	for p := Up; p <= Removed; p++ {
		if string(name) == phaseNames[p] {
			return p
		}
	}
	return NoPhase
}

// Member is the JSON form of an entry of the list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"` // the destination
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"` // calls per second that the destination accepts
}

// List is the JSON form of a full list (Complete) or of a delta.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Entry is an entry of a list that is being read. Its byte slices are valid until the next entry is read.
type Entry struct {
	ID       []byte
	HostPort []byte
	Locality []byte
	Flavor   []byte
	Dest     int64
	Phase    Phase
	Rate     float64

	ip     [4]byte // HostPort in binary form if packed is set
	port   uint16
	packed bool
}

// validate packs the address and returns an error if the entry is invalid.
func (e *Entry) validate() error {
	e.packAddress()
	switch {
	case len(e.ID) == 0:
		return errors.New("member has no id")
	case len(e.ID) > maxTextBytes || len(e.HostPort) > maxTextBytes ||
		len(e.Locality) > maxTextBytes || len(e.Flavor) > maxTextBytes:
		return fmt.Errorf("member %.40s: a string is longer than %d bytes", e.ID, maxTextBytes)
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

func (e *Entry) packAddress() { e.ip, e.port, e.packed = packAddr(e.HostPort) }

// maxTextBytes is the longest string that an entry may have.
const maxTextBytes = 1 << 10

// Entry converts the member to an Entry without validating it.
func (m *Member) Entry() *Entry {
	e := &Entry{ID: []byte(m.ID), HostPort: []byte(m.HostPort), Locality: []byte(m.Locality), Flavor: []byte(m.Flavor),
		Dest: int64(m.Cell), Phase: parsePhase([]byte(m.Phase)), Rate: m.Size}
	e.packAddress()
	return e
}

// Validate returns an error if the member is invalid.
func (m *Member) Validate() error { return m.Entry().validate() }
