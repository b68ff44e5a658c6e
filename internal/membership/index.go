package membership

// index finds slots by a hash. It is a hash table with open addressing and linear probing, split into shards. Each
// shard grows on its own and by a quarter, so that growth never takes long and little memory is unused. An entry
// consists of a slot plus one and eight bits of the hash; 0 is an empty entry.
type index struct {
	shards [shardCount]shard
	bytes  int64
}

// shard is a part of an index, with its own hash table.
type shard struct {
	entries []uint32
	used    int
}

const (
	shardCount = 256
	slotBits   = 24 // a directory has at most 1<<slotBits - 1 records
	slotMask   = 1<<slotBits - 1
)

func makeEntry(hash uint64, slot uint32) uint32 { return uint32(hash>>48)<<slotBits | (slot + 1) }
func homePosition(hash uint64, entries []uint32) int {
	return int(uint64(uint32(hash)) * uint64(len(entries)) >> 32)
}
func (x *index) shardOf(hash uint64) *shard           { return &x.shards[hash>>56] }
func hashMatches(entry uint32, hash uint64) bool      { return entry>>slotBits == uint32(hash>>48)&0xff }
func entrySlot(entry uint32) uint32                   { return entry&slotMask - 1 }
func nextPosition(position int, entries []uint32) int { return (position + 1) % len(entries) }
func probeDistance(from, to, size int) int            { return (to - from + size) % size }
func mixHash(x uint64) uint64 { // splitmix64
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// find returns the slot with a hash for which match returns true.
func (x *index) find(hash uint64, match func(slot uint32) bool) (slot uint32, ok bool) {
	s := x.shardOf(hash)
	if s.used == 0 {
		return 0, false
	}
	for i := homePosition(hash, s.entries); s.entries[i] != 0; i = nextPosition(i, s.entries) {
		if entry := s.entries[i]; hashMatches(entry, hash) && match(entrySlot(entry)) {
			return entrySlot(entry), true
		}
	}
	return 0, false
}

// put adds a slot. If the shard grows, slotHash is called for each slot that moves.
func (x *index) put(hash uint64, slot uint32, slotHash func(slot uint32) uint64) {
	s := x.shardOf(hash)
	if (s.used+1)*20 > len(s.entries)*17 { // the load factor would exceed 85%
		oldEntries := s.entries
		s.entries = make([]uint32, len(oldEntries)+len(oldEntries)/4+8)
		x.bytes += int64(len(s.entries)-len(oldEntries)) * 4
		for _, entry := range oldEntries {
			if entry != 0 {
				s.insert(slotHash(entrySlot(entry)), entrySlot(entry))
			}
		}
	}
	s.used++
	s.insert(hash, slot)
}

func (s *shard) insert(hash uint64, slot uint32) {
	i := homePosition(hash, s.entries)
	for s.entries[i] != 0 {
		i = nextPosition(i, s.entries)
	}
	s.entries[i] = makeEntry(hash, slot)
}

// replace replaces a slot by another one with the same hash.
func (x *index) replace(hash uint64, old, slot uint32) {
	s := x.shardOf(hash)
	for i := homePosition(hash, s.entries); s.entries[i] != 0; i = nextPosition(i, s.entries) {
		if entrySlot(s.entries[i]) == old {
			s.entries[i] = makeEntry(hash, slot)
			return
		}
	}
}

// remove removes a slot and moves later entries of the probe sequence to close the gap.
func (x *index) remove(hash uint64, slot uint32, slotHash func(slot uint32) uint64) {
	s := x.shardOf(hash)
	if s.used == 0 {
		return
	}
	gap := homePosition(hash, s.entries)
	for ; entrySlot(s.entries[gap]) != slot; gap = nextPosition(gap, s.entries) {
		if s.entries[gap] == 0 {
			return
		}
	}
	s.used--
	size := len(s.entries)
	for pos := nextPosition(gap, s.entries); s.entries[pos] != 0; pos = nextPosition(pos, s.entries) {
		// The entry may move to the gap unless that lies before its home position.
		if probeDistance(homePosition(slotHash(entrySlot(s.entries[pos])), s.entries), pos, size) >=
			probeDistance(gap, pos, size) {
			s.entries[gap] = s.entries[pos]
			gap = pos
		}
	}
	s.entries[gap] = 0
}
