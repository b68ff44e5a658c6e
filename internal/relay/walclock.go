package relay

import (
	"troutusher/decide"
	"troutusher/internal/clock"
)

// Clock readings in the log. A log begins with a clock record, whose reading relates the instants
// after it to the machine's boot and to the wall clock. Another one follows when the wall clock was
// stepped. A process that replays a log converts all instants to its own clock.

// clockRecordID is the id of clock records, since a record without an id counts as damaged.
const clockRecordID = "clock"

// logClock is the clock that the instants of a log belong to, as known from the records read so far.
type logClock struct {
	reading   clock.Reading // zero if no clock record was read
	latest    clock.Instant // the latest instant in the log
	unixTimes bool          // the instants are Unix microseconds, as earlier releases wrote them
}

// observe updates the clock from the instants in a record.
func (c *logClock) observe(rec *record) {
	for _, at := range []clock.Instant{rec.Deadline, rec.At, rec.MayHaveRunAt, rec.InFlightSince} {
		c.unixTimes = c.unixTimes || clock.IsUnix(at) && c.reading == (clock.Reading{})
	}
	if rec.Kind == recordAccepted || rec.Kind == recordAttempt {
		c.latest = max(c.latest, rec.At)
	}
}

// convert returns the conversion from the log's instants to the clock of now.
func (c *logClock) convert(now clock.Reading) clock.Conversion {
	if c.unixTimes {
		return clock.ConvertUnix(c.latest, now)
	}
	return c.reading.Convert(c.latest, now)
}

func newClockRecord(reading clock.Reading) *record {
	return &record{Kind: recordClock, ID: clockRecordID, Clock: &reading}
}

// now is the current instant; during a replay, the latest instant in the log so far.
func (w *wal) now() clock.Instant {
	if w.replaying {
		return w.replayClock.latest
	}
	return w.clock.Now()
}

// replayClockRecord applies a clock record: all instants before it are converted to its clock.
func (w *wal) replayClockRecord(rec *record) {
	if !w.replaying {
		return
	}
	if rec.Clock == nil || !rec.Clock.Plausible() {
		w.log.Error("log: implausible clock record, times are estimated", "reading", rec.Clock)
		w.replayClock = logClock{latest: w.replayClock.latest}
		return
	}
	w.convertRecords(w.replayClock.convert(*rec.Clock), *rec.Clock)
	w.replayClock = logClock{reading: *rec.Clock, latest: rec.Clock.Now}
}

// convertToOwnClock converts the instants of a replayed log to the clock of this process.
func (w *wal) convertToOwnClock(now clock.Reading, path string) {
	if len(w.pending)+len(w.outagesByEndpoint)+len(w.endedByID) == 0 {
		return
	}
	conversion := w.replayClock.convert(now)
	if !conversion.SameClock {
		w.log.Warn("log: written with another clock, the elapsed time is an estimate", "log", path,
			"boot", w.replayClock.reading.BootID, "now", now.BootID, "unix", w.replayClock.unixTimes,
			"messages", len(w.pending))
	}
	w.convertRecords(conversion, now)
}

// convertRecords converts the instants in all records that are kept.
func (w *wal) convertRecords(conversion clock.Conversion, now clock.Reading) {
	if conversion.SameClock {
		return
	}
	for _, live := range w.pending {
		live.rec.convert(conversion, now.Now)
	}
	for _, live := range w.endedByID { // an estimate must not let an ended message be accepted again
		live.rec.Deadline = conversion.Latest(live.rec.Deadline)
	}
	for _, live := range w.outagesByEndpoint {
		converted := convertOutageTimes(*live.rec.Outage, func(t decide.Time) decide.Time {
			return decide.Time(conversion.Estimate(clock.Instant(t)))
		})
		live.rec.Outage = &converted
	}
}

// convert converts the instants of a message to another clock, by an estimate of the elapsed time.
func (r *record) convert(conversion clock.Conversion, now clock.Instant) {
	r.Deadline, r.At = conversion.Estimate(r.Deadline), conversion.Estimate(r.At)
	r.MayHaveRunAt, r.InFlightSince = conversion.Estimate(r.MayHaveRunAt), conversion.Estimate(r.InFlightSince)
	r.DedupWindowUnknown = r.DedupWindowUnknown || r.MayHaveRunAt != 0 || r.InFlightSince != 0
	if r.Rules != nil { // no message is accepted with a later deadline
		r.Deadline = min(r.Deadline, now+clock.Instant(maxDeadlineFactor*r.Rules.Deadline))
	}
}

// writeRecord writes an encoded record, after a new clock record if the last one in the log does not
// apply any more.
func (w *wal) writeRecord(data []byte) error {
	now := clock.Read(w.clock)
	if w.lastClock != (clock.Reading{}) && !w.lastClock.Stepped(now) {
		return w.write(data)
	}
	withClock, err := newClockRecord(now).encode(nil)
	if err != nil {
		return err
	}
	if err := w.write(append(withClock, data...)); err != nil {
		return err
	}
	w.lastClock = now
	return nil
}
