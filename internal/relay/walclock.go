package relay

import (
	"troutusher/decide"
	"troutusher/internal/clock"
)

// How the log tells the time. A log begins with a clock record, whose reading ties the instants
// behind it to the machine's boot and to the wall clock; another follows where the wall clock was
// stepped. A process that reads the log turns all instants into its own clock's.

// clockID stands for an id in clock records: a record without one is taken for damaged.
const clockID = "clock"

// logClock is the clock of the instants of a log, as far as it was read or written.
type logClock struct {
	reading clock.Reading // the zero one where nothing tells
	latest  clock.Instant // the last moment that the log tells of
	unix    bool          // its moments are of the wall clock, as earlier releases kept them
}

// saw notes the moments that a record tells of.
func (c *logClock) saw(r *record) {
	for _, at := range []clock.Instant{r.Deadline, r.At, r.Doubt, r.Out} {
		c.unix = c.unix || clock.IsUnix(at) && c.reading == (clock.Reading{})
	}
	if r.Kind == recTaken || r.Kind == recAttempt {
		c.latest = max(c.latest, r.At)
	}
}

// convert gives the conversion of the log's instants to those of now.
func (c *logClock) convert(now clock.Reading) clock.Conversion {
	if c.unix {
		return clock.ConvertUnix(c.latest, now)
	}
	return c.reading.Convert(c.latest, now)
}

func clockRecord(r clock.Reading) *record { return &record{Kind: recClock, ID: clockID, Clock: &r} }

// now is the present moment; while a log is read, the last one that it told of.
func (w *wal) now() clock.Instant {
	if w.replaying {
		return w.reader.latest
	}
	return w.clock.Now()
}

// readClock books a clock record that was read: what came before it is turned into its instants.
func (w *wal) readClock(r *record) {
	if !w.replaying {
		return
	}
	if r.Clock == nil || !r.Clock.Plausible() {
		w.log.Error("log: clock record cannot be true, times are estimated", "reading", r.Clock)
		w.reader = logClock{latest: w.reader.latest}
		return
	}
	w.convert(w.reader.convert(*r.Clock), *r.Clock)
	w.reader = logClock{reading: *r.Clock, latest: r.Clock.Now}
}

// adoptClock turns the instants of a log that was read into those of this process.
func (w *wal) adoptClock(now clock.Reading, path string) {
	if len(w.live)+len(w.out)+len(w.over) == 0 {
		return
	}
	c := w.reader.convert(now)
	if !c.SameClock {
		w.log.Warn("log: written by another clock, the time that passed is an estimate", "log", path,
			"boot", w.reader.reading.BootID, "now", now.BootID, "unix", w.reader.unix, "messages", len(w.live))
	}
	w.convert(c, now)
}

// convert turns the instants of all that is kept.
func (w *wal) convert(c clock.Conversion, now clock.Reading) {
	if c.SameClock {
		return
	}
	for _, l := range w.live {
		l.rec.convert(c, now.Now)
	}
	for _, l := range w.over { // a conversion that is an estimate must not let a message in again
		l.rec.Deadline = c.Latest(l.rec.Deadline)
	}
	for _, l := range w.out {
		moved := moved(*l.rec.Outage, func(t decide.Time) decide.Time { return decide.Time(c.Estimate(clock.Instant(t))) })
		l.rec.Outage = &moved
	}
}

// convert turns a message's instants into those of another clock, by an estimate of the time that
// passed.
func (t *record) convert(c clock.Conversion, now clock.Instant) {
	t.Deadline, t.At = c.Estimate(t.Deadline), c.Estimate(t.At)
	t.Doubt, t.Out = c.Estimate(t.Doubt), c.Estimate(t.Out)
	t.WindowUnknown = t.WindowUnknown || t.Doubt != 0 || t.Out != 0
	if t.Rules != nil { // no message was taken on with more
		t.Deadline = min(t.Deadline, now+clock.Instant(deadlineMost*t.Rules.Deadline))
	}
}

// writeRecord writes a record's text, behind a clock record where the log's last one does not hold
// for what follows.
func (w *wal) writeRecord(text []byte) error {
	now := clock.Read(w.clock)
	if w.told != (clock.Reading{}) && !w.told.Stepped(now) {
		return w.write(text)
	}
	both, err := clockRecord(now).encode(nil)
	if err != nil {
		return err
	}
	if err := w.write(append(both, text...)); err != nil {
		return err
	}
	w.told = now
	return nil
}
