package membership

import (
	"math"
	"strconv"
)

// table stores each value once, with a reference count, and deletes it with its last reference. Tables hold what does
// not fit into a record: long ids, addresses that are not IPv4, rates with many digits, pairs of locality and flavor.
type table[K comparable] struct {
	indexes     map[K]uint32
	values      []K
	refs        []uint32
	freeIndexes []uint32
}

// acquire adds a reference to a value and returns the value's index.
func (t *table[K]) acquire(value K) uint32 {
	if i, ok := t.indexes[value]; ok {
		t.refs[i]++
		return i
	}
	if t.indexes == nil {
		t.indexes = map[K]uint32{}
	}
	i := uint32(len(t.values))
	if n := len(t.freeIndexes); n > 0 {
		i, t.freeIndexes = t.freeIndexes[n-1], t.freeIndexes[:n-1]
		t.values[i], t.refs[i] = value, 1
	} else {
		t.values, t.refs = append(t.values, value), append(t.refs, 1)
	}
	t.indexes[value] = i
	return i
}

// find returns the index of a value that is in the table.
func (t *table[K]) find(value K) (uint32, bool) {
	i, ok := t.indexes[value]
	return i, ok
}

// release drops a reference to a value.
func (t *table[K]) release(i uint32) {
	if t.refs[i]--; t.refs[i] == 0 {
		var zero K
		delete(t.indexes, t.values[i])
		t.values[i] = zero
		t.freeIndexes = append(t.freeIndexes, i)
	}
}

// packAddr parses an IPv4 address with a port. It returns false unless the text is exactly what formatAddr returns.
func packAddr(text []byte) (ip [4]byte, port uint16, ok bool) {
	position := 0
	parseNumber := func(maxValue uint32, terminator byte) uint32 {
		n, start := uint32(0), position
		for ; position < len(text) && text[position] >= '0' && text[position] <= '9' && position-start < 5; position++ {
			n = n*10 + uint32(text[position]-'0')
		}
		ok = position > start && n <= maxValue && (position == start+1 || text[start] != '0')
		if terminator == 0 {
			ok = ok && position == len(text)
		} else {
			ok = ok && position < len(text) && text[position] == terminator
		}
		position++
		return n
	}
	for i, terminator := range [4]byte{'.', '.', '.', ':'} {
		if ip[i] = byte(parseNumber(255, terminator)); !ok {
			return ip, 0, false
		}
	}
	port = uint16(parseNumber(math.MaxUint16, 0))
	return ip, port, ok
}

// formatAddr formats an IPv4 address with a port.
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

// A packed rate consists of 28 bits of digits and, in the 4 bits above, the power of ten that divides them. A rate
// that is not exactly the same float64 in this form is stored in a table: the packed rate then has the exponent
// rateInTable and the table index in place of the digits.
const (
	rateDigitBits = 28
	rateInTable   = 15
)

var powersOfTen = [rateInTable]float64{1, 1e1, 1e2, 1e3, 1e4, 1e5, 1e6, 1e7, 1e8, 1e9, 1e10, 1e11, 1e12, 1e13, 1e14}

// packRate packs a rate. It returns false if the rate must be stored in a table.
func packRate(rate float64) (uint32, bool) {
	for exponent, power := range powersOfTen {
		digits := math.Round(rate * power)
		if !(digits >= 0 && digits < 1<<rateDigitBits) {
			return 0, false
		}
		if digits/power == rate {
			return uint32(exponent)<<rateDigitBits | uint32(digits), true
		}
	}
	return 0, false
}

// unpackRate returns the rate of a packed rate that is not in a table.
func unpackRate(packed uint32) float64 {
	return float64(packed&(1<<rateDigitBits-1)) / powersOfTen[packed>>rateDigitBits]
}
