package relay

import (
	"errors"
	"net"
	"syscall"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

const (
	folderRetry = 200 * time.Millisecond // between two tries to read the state folder at the start
	logRetry    = 500                    // ms after which a client may come again whose request could not be logged
)

// whenFolderWorks does what needs the state folder. While that fails the relay listens and refuses
// what comes. It reports false where the process is to end first.
func (r *Relay) whenFolderWorks(operation func() error) bool {
	cause := operation()
	if cause == nil {
		return true
	}
	began := r.clock.Now()
	r.log.Error("state folder: failing", "folder", r.cfg.State, "operation", "start", "err", cause)
	r.recovering = true
	var kept []event
	defer func() {
		for _, h := range kept {
			r.in.put(h)
		}
	}()
	for {
		r.openEarly()
		kept = r.refuseAll(folderRetry, kept)
		if r.endedEarly() {
			return false
		}
		if r.stopAt.IsZero() && operation() == nil {
			break
		}
	}
	r.log.Info("state folder: works again", "folder", r.cfg.State, "after_ms", clock.Since(r.clock, began).Milliseconds())
	return true
}

// openEarly listens before anything is recovered, unless that is done or another process still does.
func (r *Relay) openEarly() {
	if r.listener != nil || r.listenErr != nil {
		return
	}
	listener, err := listen(r.cfg, false, r.clock, r.log)
	switch {
	case err == nil:
		r.listener = listener
		r.share(r.sharing)
		go r.clients.serve(listener)
	case !errors.Is(err, syscall.EADDRINUSE):
		r.listenErr = err
		r.log.Error("clients cannot come before the state folder works", "err", err)
	}
}

// refuseAll answers for a while what clients hand in, and keeps what else happens.
func (r *Relay) refuseAll(wait time.Duration, kept []event) []event {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		select {
		case <-r.in.ready:
		case <-limit.C:
			return kept
		}
		for _, h := range r.in.takeAll(nil) {
			switch {
			case h.submitted != nil:
				r.admit(h.submitted)
			case h.stop:
				r.take(h)
			default:
				kept = append(kept, h)
			}
		}
	}
}

// endedEarly reports whether a process that is to end without having recovered anything may go.
func (r *Relay) endedEarly() bool {
	if r.stopAt.IsZero() {
		return false
	}
	gone := clock.Since(r.clock, r.stopAt)
	return r.listener == nil || gone >= stopCalls || gone >= stopListen && r.clients.count() == 0
}

// open gives the clients' listener, which may have been opened early.
func (r *Relay) open() (*net.TCPListener, error) {
	if r.listener != nil || r.listenErr != nil {
		return r.listener, r.listenErr
	}
	listener, err := listen(r.cfg, r.sharing, r.clock, r.log)
	if err != nil {
		return nil, err
	}
	r.listener = listener
	go r.clients.serve(listener)
	return listener, nil
}

// logState is news of whether records can be written.
type logState int

const (
	logUnchanged logState = iota
	logFailing
	logWorks
)

// watchLog has the loop told when the log begins to fail and when it works again.
func (r *Relay) watchLog() {
	r.wal.health.onChange = func(failing bool) {
		state := logWorks
		if failing {
			state = logFailing
		}
		r.in.put(event{log: state})
	}
	if r.wal.health.failing {
		r.logChanged(logFailing)
	}
}

// logChanged: while no record can be written nothing is taken on, and the policy holds what
// must not go out without its record.
func (r *Relay) logChanged(state logState) {
	r.logFails = state == logFailing
	r.events = append(r.events, decide.Event{Kind: decide.EvRecording, CannotRecord: r.logFails})
}
