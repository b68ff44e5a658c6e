package decide

import (
	"container/heap"
	"math"
)

// Data structures without policy; the caller passes all sizes.

// rollingCounter counts requests and accepts over a sliding time window of fixed bins.
type rollingCounter struct {
	binWidth  Time
	binCount  Time
	bins      [][2]uint32 // requests and accepts of each bin; nil while all are zero
	newestBin Time        // number of the newest bin since time 0
	sums      [2]float64  // requests and accepts of all bins
	startedAt Time
	hasStart  bool
}

// newRollingCounter returns an empty counter over the given span, divided into bins.
func newRollingCounter(span Time, bins int) rollingCounter {
	return rollingCounter{binWidth: span / Time(bins), binCount: Time(bins)}
}

// advance drops the bins that have left the time window.
func (c *rollingCounter) advance(now Time) {
	bin := now / c.binWidth
	if !c.hasStart {
		c.hasStart, c.startedAt, c.newestBin = true, now, bin
	}
	if c.bins == nil {
		c.newestBin = max(c.newestBin, bin)
		return
	}
	for ; c.newestBin < bin; c.newestBin++ {
		if bin-c.newestBin > c.binCount {
			c.newestBin = bin - c.binCount
		}
		oldest := &c.bins[(c.newestBin+1)%c.binCount]
		c.sums[0] -= float64(oldest[0])
		c.sums[1] -= float64(oldest[1])
		*oldest = [2]uint32{}
	}
}

// add counts one request (column 0) or accept (column 1).
func (c *rollingCounter) add(now Time, column int) {
	if c.advance(now); c.bins == nil {
		c.bins = make([][2]uint32, c.binCount)
	}
	c.bins[c.newestBin%c.binCount][column]++
	c.sums[column]++
}

// releaseEmptyBins frees the bins if all are zero.
func (c *rollingCounter) releaseEmptyBins(now Time) {
	if c.bins == nil {
		return
	}
	if c.advance(now); c.sums == [2]float64{} {
		c.bins = nil
	}
}

func (c *rollingCounter) addRequest(now Time) { c.add(now, 0) }
func (c *rollingCounter) addAccept(now Time)  { c.add(now, 1) }

// removeRequest takes back a request that was added at a time, unless that has left the time window.
func (c *rollingCounter) removeRequest(now, addedAt Time) {
	c.advance(now)
	bin := addedAt / c.binWidth
	if c.bins == nil || c.newestBin-bin >= c.binCount || c.bins[bin%c.binCount][0] == 0 {
		return
	}
	c.bins[bin%c.binCount][0]--
	c.sums[0]--
}

// totals returns the requests and accepts within the time window.
func (c *rollingCounter) totals(now Time) (requests, accepts float64) {
	c.advance(now)
	return c.sums[0], c.sums[1]
}

// acceptRate returns the accepts a second over the time window, or since the start while that is shorter.
func (c *rollingCounter) acceptRate(now Time) float64 {
	c.advance(now)
	span := min(now-c.startedAt, c.binWidth*c.binCount)
	return c.sums[1] * 1e6 / float64(max(span, c.binWidth*2))
}

// tokenBucket is a token bucket. The caller passes its rate (tokens a second) and its burst size. It starts
// full; if updatedAt is set beforehand, it starts empty at that time.
type tokenBucket struct {
	updatedAt   Time
	tokens      float64
	initialized bool
}

// refill adds the tokens for the time since the last update and returns the level.
func (b *tokenBucket) refill(now Time, rate, burst float64) float64 {
	if !b.initialized && b.updatedAt == 0 {
		b.tokens = burst
	} else if now > b.updatedAt {
		b.tokens += rate * float64(now-b.updatedAt) / 1e6
	}
	b.tokens, b.updatedAt, b.initialized = min(b.tokens, burst), max(b.updatedAt, now), true
	return b.tokens
}

// take removes tokens, or returns false if the bucket holds fewer.
func (b *tokenBucket) take(now Time, tokens, rate, burst float64) bool {
	if b.refill(now, rate, burst) < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// availableAt returns when the bucket will hold that many tokens.
func (b *tokenBucket) availableAt(now Time, tokens, rate, burst float64) Time {
	if level := b.refill(now, rate, burst); level < tokens {
		return b.updatedAt + Time(math.Ceil((tokens-level)/max(rate, 1e-6)*1e6)) + 1
	}
	return now
}

// latencyEstimate is a smoothed mean and mean deviation, in microseconds.
type latencyEstimate struct {
	mean, deviation float64
	samples         int
}

// add updates the estimate with a sample; each sample has a weight of 1/8.
func (l *latencyEstimate) add(sample float64) {
	l.samples++
	if l.samples == 1 {
		l.mean, l.deviation = sample, sample/2
		return
	}
	l.deviation += (math.Abs(sample-l.mean) - l.deviation) / 8
	l.mean += (sample - l.mean) / 8
}

// timerQueue holds values that fall due at given times; values due at the same time keep the order in which
// they were added.
type timerQueue[T any] struct {
	items   timerHeap[T]
	lastSeq uint64
}

// timer is a value with its due time; seq orders the timers of the same time.
type timer[T any] struct {
	at    Time
	seq   uint64
	index int // in the heap; negative once the timer is due or removed
	value T
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []*timer[T]

func (h timerHeap[T]) Len() int { return len(h) }
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h timerHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *timerHeap[T]) Push(x any) {
	added := x.(*timer[T])
	added.index = len(*h)
	*h = append(*h, added)
}
func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	x.index = -1
	return x
}

// add schedules a value for the given time.
func (q *timerQueue[T]) add(at Time, value T) *timer[T] {
	q.lastSeq++
	added := &timer[T]{at: at, seq: q.lastSeq, value: value}
	heap.Push(&q.items, added)
	return added
}

// remove takes a timer out of the queue. It does nothing if the timer is nil, due or removed already.
func (q *timerQueue[T]) remove(t *timer[T]) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.items, t.index)
	}
}

// popDue removes and returns the earliest value that is due.
func (q *timerQueue[T]) popDue(now Time) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return value, false
	}
	return heap.Pop(&q.items).(*timer[T]).value, true
}

// nextAt returns the earliest due time, or math.MaxInt64 if the queue is empty.
func (q *timerQueue[T]) nextAt() Time {
	if len(q.items) == 0 {
		return math.MaxInt64
	}
	return q.items[0].at
}
