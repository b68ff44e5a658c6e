package membership

import (
	"encoding/binary"
	"errors"
	"hash/maphash"
	"math"
	"math/rand/v2"
	"sync"
	"unsafe"
)

// Number identifies an endpoint of a directory. It holds the endpoint's slot plus one and, above it, the generation of
// the slot, which counts its reuses in 16 bits. It is never 0. Later endpoints in the same slot have other numbers
// until the generation wraps after 65,536 reuses.
type Number uint64

// Endpoint is the description of an endpoint in a directory.
type Endpoint struct {
	Number       Number
	Dest         int
	Phase        Phase
	Rate         float64
	AttributesID int // locality and flavor, see Directory.Attributes
}

// Attributes are the locality and the flavor of an endpoint, by the names that the list uses.
type Attributes struct{ Locality, Flavor string }

// record stores an endpoint in 36 bytes without pointers. A field that is too small for its value holds the index of
// that value in a table of the directory.
type record struct {
	id    [maxInlineID]byte // the id itself, or its index in longIDs
	idLen uint8
	flags uint8
	port  uint16
	ip    [4]byte // IPv4 address, or the index of the address in addrs
	dest  uint32
	// nextSlot links the records of a destination in a ring. In a free or staged record it links the free list or the
	// list of staged records, and is the slot plus one.
	nextSlot     uint32
	rate         uint32 // see packRate
	attributesID uint16 // index in attributes
	generation   uint16
}

const (
	maxInlineID = 12  // bytes
	idInTable   = 255 // value of idLen if the id is in longIDs

	phaseMask       = 3      // bits of flags that hold the Phase; NoPhase if the record is free
	flagStaged      = 1 << 2 // the record is not in force yet: a new endpoint or an update to one
	flagUpdate      = 1 << 3 // the record is a staged update to an endpoint that has a record in force
	flagHasUpdate   = 1 << 4 // an update to this record is staged
	flagHeld        = 1 << 5 // the record is kept even if the endpoint is removed
	flagAddrInTable = 1 << 6 // the address is in addrs
	flagInRing      = 1 << 7 // the record is in the ring of its destination

	pageRecords     = 4096 // records in a page
	recordBytes     = int64(unsafe.Sizeof(record{}))
	maxAttributesID = math.MaxUint16
	maxSlots        = slotMask
)

// Directory holds the list that a relay has received. One goroutine stages a list while another puts a list in force
// and looks endpoints up; each holds the lock only briefly. A destination that a list has named stays known.
type Directory struct {
	mu       sync.Mutex
	maxBytes int64 // memory limit; 0 for none

	pages      [][]record
	slotCount  uint32 // slots in use or in the free list
	freeList   uint32 // the first free slot, plus one; 0 if there is none
	idIndex    index
	destIndex  index // the last slot in the ring of each destination; its nextSlot is the first
	idSeed     maphash.Seed
	destSalt   uint64
	longIDs    table[string]
	addrs      table[string]
	rates      table[uint64]
	attributes table[Attributes]
	tableBytes int64             // approximate size of the tables
	emptyDests map[uint32]uint64 // bitmap of the known destinations without endpoints: 64 in a word

	endpoints       int  // endpoints in force
	destinations    int  // destinations with an endpoint in force
	hasDestinations bool // a list with endpoints has been in force, or AddDestination was called
	applying        bool // a list is being put in force
	revision        int64

	drainedSlots []uint32      // slots that a list marked as draining or removed while it was read
	listLock     chan struct{} // holds a value while a list is staged or put in force
}

// ErrFull means that a list does not fit into the memory limit of the directory.
var ErrFull = errors.New("the list is longer than limits.memory_mb has room for")

// NewDirectory creates an empty directory that uses at most limit bytes; 0 means no limit.
func NewDirectory(limit int64) *Directory {
	d := &Directory{maxBytes: limit, idSeed: maphash.MakeSeed(), destSalt: rand.Uint64(),
		emptyDests: map[uint32]uint64{}, listLock: make(chan struct{}, 1)}
	return d
}

// SetLimit changes the memory limit in bytes.
func (d *Directory) SetLimit(limit int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxBytes = limit
}

// record returns the record in a slot.
func (d *Directory) record(slot uint32) *record { return &d.pages[slot/pageRecords][slot%pageRecords] }

// numberOf returns the number of the endpoint that is in a slot now.
func (d *Directory) numberOf(slot uint32) Number {
	return Number(d.record(slot).generation)<<32 | Number(slot+1)
}

// lookup returns the slot of an endpoint. It returns false if the slot is free or has been reused for another one.
func (d *Directory) lookup(n Number) (uint32, bool) {
	slot := uint32(n) - 1
	ok := uint32(n) > 0 && slot < d.slotCount && d.record(slot).generation == uint16(n>>32) &&
		d.record(slot).flags&phaseMask != 0
	return slot, ok
}

func (d *Directory) idHash(id []byte) uint64 { return maphash.Bytes(d.idSeed, id) }

// idOf returns the id of a record.
func (d *Directory) idOf(r *record) []byte {
	if r.idLen == idInTable {
		return []byte(d.longIDs.values[binary.LittleEndian.Uint32(r.id[:])])
	}
	return r.id[:r.idLen]
}

func (d *Directory) slotIDHash(slot uint32) uint64   { return d.idHash(d.idOf(d.record(slot))) }
func (d *Directory) destHash(dest uint32) uint64     { return mixHash(uint64(dest) ^ d.destSalt) }
func (d *Directory) slotDestHash(slot uint32) uint64 { return d.destHash(d.record(slot).dest) }

// findID returns the slot of an id, ignoring staged updates.
func (d *Directory) findID(id []byte) (uint32, bool) {
	if len(id) > maxInlineID {
		index, ok := d.longIDs.find(string(id))
		if !ok {
			return 0, false
		}
		return d.idIndex.find(d.idHash(id), func(slot uint32) bool {
			r := d.record(slot)
			return r.idLen == idInTable && binary.LittleEndian.Uint32(r.id[:]) == index
		})
	}
	return d.idIndex.find(d.idHash(id), func(slot uint32) bool {
		r := d.record(slot)
		return int(r.idLen) == len(id) && string(r.id[:len(id)]) == string(id)
	})
}

// lastInRing returns the last slot in the ring of a destination.
func (d *Directory) lastInRing(dest uint32) (uint32, bool) {
	return d.destIndex.find(d.destHash(dest), func(slot uint32) bool { return d.record(slot).dest == dest })
}

// allocate returns a free slot.
func (d *Directory) allocate() (uint32, error) {
	if d.freeList != 0 {
		slot := d.freeList - 1
		d.freeList = d.record(slot).nextSlot
		return slot, nil
	}
	if d.slotCount == maxSlots {
		return 0, ErrFull
	}
	if int(d.slotCount) == len(d.pages)*pageRecords {
		if d.maxBytes > 0 && d.memoryBytes()+pageRecords*recordBytes > d.maxBytes {
			return 0, ErrFull
		}
		d.pages = append(d.pages, make([]record, pageRecords))
	}
	d.slotCount++
	return d.slotCount - 1, nil
}

// free releases the table entries of a record and adds its slot to the free list.
func (d *Directory) free(slot uint32) {
	r := d.record(slot)
	d.releaseContent(r)
	if r.idLen == idInTable {
		index := binary.LittleEndian.Uint32(r.id[:])
		d.tableBytes -= tableTextBytes(d.longIDs.values[index])
		d.longIDs.release(index)
	}
	*r = record{generation: r.generation + 1, nextSlot: d.freeList}
	d.freeList = slot + 1
}

// releaseContent releases the table entries of a record, except that of its id.
func (d *Directory) releaseContent(r *record) {
	if r.flags&flagAddrInTable != 0 {
		index := binary.LittleEndian.Uint32(r.ip[:])
		d.tableBytes -= tableTextBytes(d.addrs.values[index])
		d.addrs.release(index)
		r.flags &^= flagAddrInTable
	}
	if r.rate>>rateDigitBits == rateInTable {
		d.rates.release(r.rate & (1<<rateDigitBits - 1))
	}
	d.attributes.release(uint32(r.attributesID))
}

// tableTextBytes is the approximate memory that a string in a table takes. It is counted for each use of the string,
// so the total is too high if several records share one.
func tableTextBytes(s string) int64 { return int64(len(s)) + 48 }

// storeEntry writes an entry into a record that holds no table entries.
func (d *Directory) storeEntry(r *record, e *Entry) error {
	var attributes Attributes
	attributesID, ok := d.attributes.find(Attributes{string(e.Locality), string(e.Flavor)})
	if ok {
		attributes = d.attributes.values[attributesID] // reuses the strings of the table
	} else {
		attributes = Attributes{string(e.Locality), string(e.Flavor)}
	}
	if attributesID = d.attributes.acquire(attributes); attributesID > maxAttributesID {
		d.attributes.release(attributesID)
		return errors.New("the list has more than 65536 different pairs of locality and flavor")
	}
	r.attributesID = uint16(attributesID)
	r.dest = uint32(e.Dest)
	r.flags = r.flags&^(phaseMask|flagAddrInTable) | uint8(e.Phase)
	if e.packed {
		r.ip, r.port = e.ip, e.port
	} else {
		r.flags |= flagAddrInTable
		r.port = 0
		binary.LittleEndian.PutUint32(r.ip[:], d.addrs.acquire(string(e.HostPort)))
		d.tableBytes += tableTextBytes(string(e.HostPort))
	}
	if r.rate, ok = packRate(e.Rate); !ok {
		r.rate = rateInTable<<rateDigitBits | d.rates.acquire(math.Float64bits(e.Rate))
	}
	return nil
}

// matches reports whether a record already says what an entry says.
func (d *Directory) matches(r *record, e *Entry) bool {
	if Phase(r.flags&phaseMask) != e.Phase {
		return false
	}
	if e.Phase == Removed {
		return true
	}
	if int64(r.dest) != e.Dest || d.rateOf(r) != e.Rate {
		return false
	}
	if attributes := &d.attributes.values[r.attributesID]; attributes.Locality != string(e.Locality) ||
		attributes.Flavor != string(e.Flavor) {
		return false
	}
	if r.flags&flagAddrInTable != 0 {
		return d.addrs.values[binary.LittleEndian.Uint32(r.ip[:])] == string(e.HostPort)
	}
	return e.packed && e.ip == r.ip && e.port == r.port
}

// rateOf returns the rate of a record.
func (d *Directory) rateOf(r *record) float64 {
	if r.rate>>rateDigitBits == rateInTable {
		return math.Float64frombits(d.rates.values[r.rate&(1<<rateDigitBits-1)])
	}
	return unpackRate(r.rate)
}

// setID stores the id of a new record, in longIDs if it is too long for the record.
func (d *Directory) setID(r *record, id []byte) {
	if len(id) <= maxInlineID {
		r.idLen = uint8(copy(r.id[:], id))
		return
	}
	r.idLen = idInTable
	binary.LittleEndian.PutUint32(r.id[:], d.longIDs.acquire(string(id)))
	d.tableBytes += tableTextBytes(string(id))
}

// link appends a record to the ring of its destination.
func (d *Directory) link(slot uint32) {
	r := d.record(slot)
	r.flags |= flagInRing
	d.endpoints++
	hash := d.destHash(r.dest)
	if last, ok := d.lastInRing(r.dest); ok {
		lastRecord := d.record(last)
		r.nextSlot, lastRecord.nextSlot = lastRecord.nextSlot, slot
		d.destIndex.replace(hash, last, slot)
		return
	}
	r.nextSlot = slot
	d.destIndex.put(hash, slot, d.slotDestHash)
	d.destinations++
	if word := d.emptyDests[r.dest/64] &^ (1 << (r.dest % 64)); word == 0 {
		delete(d.emptyDests, r.dest/64)
	} else {
		d.emptyDests[r.dest/64] = word
	}
}

// unlink removes a record from the ring of its destination.
func (d *Directory) unlink(slot uint32) {
	r := d.record(slot)
	if r.flags&flagInRing == 0 {
		return
	}
	r.flags &^= flagInRing
	d.endpoints--
	last, _ := d.lastInRing(r.dest)
	hash := d.destHash(r.dest)
	if r.nextSlot == slot {
		d.destIndex.remove(hash, slot, d.slotDestHash)
		d.destinations--
		d.emptyDests[r.dest/64] |= 1 << (r.dest % 64)
		return
	}
	predecessor := last
	for d.record(predecessor).nextSlot != slot {
		predecessor = d.record(predecessor).nextSlot
	}
	d.record(predecessor).nextSlot = r.nextSlot
	if last == slot {
		d.destIndex.replace(hash, slot, predecessor)
	}
}

// endpointAt returns the endpoint in a slot.
func (d *Directory) endpointAt(slot uint32) Endpoint {
	r := d.record(slot)
	return Endpoint{Number: d.numberOf(slot), Dest: int(r.dest), Phase: Phase(r.flags & phaseMask),
		Rate: d.rateOf(r), AttributesID: int(r.attributesID)}
}

// Len returns the numbers of listed endpoints and of destinations that have one.
func (d *Directory) Len() (endpoints, destinations int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints, d.destinations
}

// Revision returns the revision of the list in force.
func (d *Directory) Revision() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Knows reports whether a list has ever named a destination. While no destination is known at all, or a list is being
// put in force, the answer is not certain yet, and Knows returns true.
func (d *Directory) Knows(dest int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasDestinations || d.applying {
		return true
	}
	if dest < 0 || dest > math.MaxUint32 {
		return false
	}
	if d.emptyDests[uint32(dest)/64]&(1<<(dest%64)) != 0 {
		return true
	}
	_, ok := d.lastInRing(uint32(dest))
	return ok
}

// AddDestination makes a destination known even if no list has named it.
func (d *Directory) AddDestination(dest int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.lastInRing(uint32(dest)); !ok && dest >= 0 && dest <= math.MaxUint32 {
		d.emptyDests[uint32(dest)/64] |= 1 << (dest % 64)
	}
	d.hasDestinations = true
}

// Endpoints appends the endpoints of a destination to into, in the order in which they were added.
func (d *Directory) Endpoints(dest int, into []Endpoint) []Endpoint {
	if dest < 0 || dest > math.MaxUint32 {
		return into
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.lastInRing(uint32(dest))
	if !ok {
		return into
	}
	for slot := d.record(last).nextSlot; ; slot = d.record(slot).nextSlot {
		into = append(into, d.endpointAt(slot))
		if slot == last {
			return into
		}
	}
}

// Get returns an endpoint. It returns false if the endpoint is no longer known.
func (d *Directory) Get(n Number) (Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot, ok := d.lookup(n)
	if !ok {
		return Endpoint{}, false
	}
	return d.endpointAt(slot), true
}

// Find returns the endpoint with an id.
func (d *Directory) Find(id string) (Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot, ok := d.findID([]byte(id))
	if !ok || d.record(slot).flags&flagStaged != 0 {
		return Endpoint{}, false
	}
	return d.endpointAt(slot), true
}

// Text returns the id and the address of an endpoint.
func (d *Directory) Text(n Number) (id, hostPort string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot, ok := d.lookup(n)
	if !ok {
		return "", ""
	}
	r := d.record(slot)
	if r.flags&flagAddrInTable != 0 {
		return string(d.idOf(r)), d.addrs.values[binary.LittleEndian.Uint32(r.ip[:])]
	}
	return string(d.idOf(r)), formatAddr(r.ip, r.port)
}

// Attributes returns the attributes with an Endpoint.AttributesID. The ID is valid as long as an endpoint has it.
func (d *Directory) Attributes(id int) Attributes {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.attributes.values[id]
}

// Hold keeps an endpoint and its number known until Release, even if a list removes the endpoint.
func (d *Directory) Hold(n Number) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slot, ok := d.lookup(n); ok {
		d.record(slot).flags |= flagHeld
	}
}

// Release ends a Hold.
func (d *Directory) Release(n Number) {
	d.mu.Lock()
	defer d.mu.Unlock()
	slot, ok := d.lookup(n)
	if !ok {
		return
	}
	r := d.record(slot)
	if r.flags &^= flagHeld; Phase(r.flags&phaseMask) == Removed && r.flags&(flagHasUpdate|flagInRing) == 0 {
		d.deleteRecord(slot)
	}
}

// deleteRecord removes an endpoint from the index of ids and frees its slot.
func (d *Directory) deleteRecord(slot uint32) {
	d.idIndex.remove(d.slotIDHash(slot), slot, d.slotIDHash)
	d.free(slot)
}

// memoryBytes is Size for callers that hold the lock.
func (d *Directory) memoryBytes() int64 {
	return int64(len(d.pages))*pageRecords*recordBytes + d.idIndex.bytes + d.destIndex.bytes + d.tableBytes +
		int64(len(d.emptyDests))*32
}

// Size returns the approximate memory of the directory in bytes.
func (d *Directory) Size() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.memoryBytes()
}
