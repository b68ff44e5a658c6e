package relay

import (
	"slices"

	"troutusher/decide"
)

// timers holds the times at which the policy asked to be stepped again, earliest first. Each is kept
// until it is due: the policy relies on every timer it has set, and may set a later one in a step that
// runs after an earlier one is due but before the loop has noticed that.
type timers []decide.Time

// add adds a timer; one that is set twice fires once.
func (t *timers) add(at decide.Time) {
	if i, found := slices.BinarySearch(*t, at); !found {
		*t = slices.Insert(*t, i, at)
	}
}

// next returns the earliest timer, or 0 if there is none.
func (t timers) next() decide.Time {
	if len(t) == 0 {
		return 0
	}
	return t[0]
}

// popDue removes the timers that are due at now and reports whether there were any.
func (t *timers) popDue(now decide.Time) bool {
	n := 0
	for n < len(*t) && (*t)[n] <= now {
		n++
	}
	*t = slices.Delete(*t, 0, n)
	return n > 0
}
