package membership

// index finds slots by a hash. It is a hash table with open addressing and
// linear probing, cut into shards that grow each by itself and by little: growth
// never takes long, and little room stands empty. An entry is a slot (plus one)
// and eight bits of its hash.
type index struct {
	shards [shards]shard
	bytes  int64
}

type shard struct {
	cells []uint32
	used  int
}

const (
	shards   = 256
	slotBits = 24 // a directory has at most 1<<slotBits - 1 records
	slotMask = 1<<slotBits - 1
)

func cell(h uint64, slot uint32) uint32 { return uint32(h>>48)<<slotBits | (slot + 1) }
func home(h uint64, cells []uint32) int { return int(uint64(uint32(h)) * uint64(len(cells)) >> 32) }
func (x *index) of(h uint64) *shard     { return &x.shards[h>>56] }
func tagged(c uint32, h uint64) bool    { return c>>slotBits == uint32(h>>48)&0xff }
func slotOf(c uint32) uint32            { return c&slotMask - 1 }
func after(i int, cells []uint32) int   { return (i + 1) % len(cells) }
func distance(from, to, size int) int   { return (to - from + size) % size }
func mix(x uint64) uint64 { // splitmix64
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// find gives the slot under a hash that match says yes to.
func (x *index) find(h uint64, match func(slot uint32) bool) (slot uint32, ok bool) {
	s := x.of(h)
	if s.used == 0 {
		return 0, false
	}
	for i := home(h, s.cells); s.cells[i] != 0; i = after(i, s.cells) {
		if c := s.cells[i]; tagged(c, h) && match(slotOf(c)) {
			return slotOf(c), true
		}
	}
	return 0, false
}

// put adds a slot; hash is asked again for those that move as the shard grows.
func (x *index) put(h uint64, slot uint32, hash func(slot uint32) uint64) {
	s := x.of(h)
	if (s.used+1)*20 > len(s.cells)*17 { // full to 85%
		old := s.cells
		s.cells = make([]uint32, len(old)+len(old)/4+8)
		x.bytes += int64(len(s.cells)-len(old)) * 4
		for _, c := range old {
			if c != 0 {
				s.place(hash(slotOf(c)), slotOf(c))
			}
		}
	}
	s.used++
	s.place(h, slot)
}

func (s *shard) place(h uint64, slot uint32) {
	i := home(h, s.cells)
	for s.cells[i] != 0 {
		i = after(i, s.cells)
	}
	s.cells[i] = cell(h, slot)
}

// replace puts another slot in the place of one; both have the same hash.
func (x *index) replace(h uint64, old, slot uint32) {
	s := x.of(h)
	for i := home(h, s.cells); s.cells[i] != 0; i = after(i, s.cells) {
		if slotOf(s.cells[i]) == old {
			s.cells[i] = cell(h, slot)
			return
		}
	}
}

// remove takes a slot out and closes the gap.
func (x *index) remove(h uint64, slot uint32, hash func(slot uint32) uint64) {
	s := x.of(h)
	if s.used == 0 {
		return
	}
	i := home(h, s.cells)
	for ; slotOf(s.cells[i]) != slot; i = after(i, s.cells) {
		if s.cells[i] == 0 {
			return
		}
	}
	s.used--
	size := len(s.cells)
	for j := after(i, s.cells); s.cells[j] != 0; j = after(j, s.cells) {
		// It may fill the gap if that is not before its home.
		if distance(home(hash(slotOf(s.cells[j])), s.cells), j, size) >= distance(i, j, size) {
			s.cells[i] = s.cells[j]
			i = j
		}
	}
	s.cells[i] = 0
}
