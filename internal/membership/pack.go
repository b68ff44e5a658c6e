package membership

import (
	"math"
	"strconv"
)

// What a record has no room for stands once in a table, counted: long ids,
// addresses that are not IPv4, rates of many digits, pairs of locality and flavor.

// table keeps each value once, as long as something uses it.
type table[K comparable] struct {
	at   map[K]uint32
	vals []K
	uses []uint32
	free []uint32
}

// take gives the number of a value and counts a use.
func (t *table[K]) take(v K) uint32 {
	if i, ok := t.at[v]; ok {
		t.uses[i]++
		return i
	}
	if t.at == nil {
		t.at = map[K]uint32{}
	}
	i := uint32(len(t.vals))
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
		t.vals[i], t.uses[i] = v, 1
	} else {
		t.vals, t.uses = append(t.vals, v), append(t.uses, 1)
	}
	t.at[v] = i
	return i
}

// find gives the number of a value that is kept already.
func (t *table[K]) find(v K) (uint32, bool) {
	i, ok := t.at[v]
	return i, ok
}

// drop counts a use less.
func (t *table[K]) drop(i uint32) {
	if t.uses[i]--; t.uses[i] == 0 {
		var none K
		delete(t.at, t.vals[i])
		t.vals[i] = none
		t.free = append(t.free, i)
	}
}

// packAddr packs an IPv4 address and port that are written as formatAddr writes them.
func packAddr(text []byte) (ip [4]byte, port uint16, ok bool) {
	at := 0
	number := func(most uint32, end byte) uint32 {
		n, from := uint32(0), at
		for ; at < len(text) && text[at] >= '0' && text[at] <= '9' && at-from < 5; at++ {
			n = n*10 + uint32(text[at]-'0')
		}
		ok = at > from && n <= most && (at == from+1 || text[from] != '0')
		if end == 0 {
			ok = ok && at == len(text)
		} else {
			ok = ok && at < len(text) && text[at] == end
		}
		at++
		return n
	}
	for i, end := range [4]byte{'.', '.', '.', ':'} {
		if ip[i] = byte(number(255, end)); !ok {
			return ip, 0, false
		}
	}
	port = uint16(number(math.MaxUint16, 0))
	return ip, port, ok
}

func formatAddr(ip [4]byte, port uint16) string {
	b := make([]byte, 0, len("255.255.255.255:65535"))
	for i, x := range ip {
		if i > 0 {
			b = append(b, '.')
		}
		b = strconv.AppendUint(b, uint64(x), 10)
	}
	return string(strconv.AppendUint(append(b, ':'), uint64(port), 10))
}

// A rate is 28 bits of digits over a power of ten in 4 bits, where that is the
// same float64; else a number in a table, under the last power.
const (
	rateBits  = 28
	rateTable = 15
)

var tens = [rateTable]float64{1, 1e1, 1e2, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9, 1e10, 1e11, 1e12, 1e13, 1e14}

func packRate(v float64) (uint32, bool) {
	for k, ten := range tens {
		m := math.Round(v * ten)
		if !(m >= 0 && m < 1<<rateBits) {
			return 0, false
		}
		if m/ten == v {
			return uint32(k)<<rateBits | uint32(m), true
		}
	}
	return 0, false
}

func unpackRate(p uint32) float64 { return float64(p&(1<<rateBits-1)) / tens[p>>rateBits] }
