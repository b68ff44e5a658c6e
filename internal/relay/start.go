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
	folderRetryInterval = 200 * time.Millisecond // between two attempts to read the state folder at startup
	logFailureRetryMS   = 500                    // ms after which a client may retry a message that could not be logged
)

// retryUntilFolderWorks runs an operation on the state folder and repeats it until it succeeds.
// Meanwhile the relay accepts connections and refuses messages. It reports false if the process is to
// stop before the operation has succeeded.
func (r *Relay) retryUntilFolderWorks(operation func() error) bool {
	cause := operation()
	if cause == nil {
		return true
	}
	began := r.clock.Now()
	r.log.Error("state folder: failing", "folder", r.cfg.StateFolder, "operation", "start", "err", cause)
	r.recovering = true
	var deferred []event
	defer func() {
		for _, ev := range deferred {
			r.inbox.put(ev)
		}
	}()
	for {
		r.listenEarly()
		deferred = r.refuseMessages(folderRetryInterval, deferred)
		if r.mayExitEarly() {
			return false
		}
		if r.stoppingSince.IsZero() && operation() == nil {
			break
		}
	}
	r.log.Info("state folder: works again", "folder", r.cfg.StateFolder,
		"after_ms", clock.Since(r.clock, began).Milliseconds())
	return true
}

// listenEarly opens the clients' listener before recovery, unless it is open already or another process
// still holds the address.
func (r *Relay) listenEarly() {
	if r.listener != nil || r.listenErr != nil {
		return
	}
	listener, err := listen(r.cfg, false, r.clock, r.log)
	switch {
	case err == nil:
		r.listener = listener
		r.setOtherProcessRuns(r.otherProcessRuns)
		go r.clients.serve(sharedListener{listener})
	case !errors.Is(err, syscall.EADDRINUSE):
		r.listenErr = err
		r.log.Error("cannot listen for clients while the state folder fails", "err", err)
	}
}

// refuseMessages refuses messages from clients for the given time. It returns deferred with all other
// events appended, except a stop and the departure of a client, which are handled at once.
func (r *Relay) refuseMessages(wait time.Duration, deferred []event) []event {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		select {
		case <-r.inbox.ready:
		case <-timeout.C:
			return deferred
		}
		for _, ev := range r.inbox.takeAll(nil) {
			switch {
			case ev.submitted != nil || ev.replied != nil || ev.stop:
				r.handleEvent(ev)
			default:
				deferred = append(deferred, ev)
			}
		}
	}
}

// mayExitEarly reports whether a process that is stopping before recovery may exit.
func (r *Relay) mayExitEarly() bool {
	if r.stoppingSince.IsZero() {
		return false
	}
	elapsed := clock.Since(r.clock, r.stoppingSince)
	return r.listener == nil || elapsed >= exitAfter || elapsed >= closeListenerAfter && r.clients.count() == 0
}

// openListener returns the clients' listener, which listenEarly may have opened.
func (r *Relay) openListener() (*net.TCPListener, error) {
	if r.listener != nil || r.listenErr != nil {
		return r.listener, r.listenErr
	}
	listener, err := listen(r.cfg, r.otherProcessRuns, r.clock, r.log)
	if err != nil {
		return nil, err
	}
	r.listener = listener
	go r.clients.serve(sharedListener{listener})
	return listener, nil
}

// logState tells whether records can be written to the log.
type logState int

const (
	logUnchanged logState = iota
	logFailing
	logHealthy
)

// watchLogHealth has an event sent to the loop when the log starts to fail and when it recovers.
func (r *Relay) watchLogHealth() {
	r.wal.health.onChange = func(failing bool) {
		state := logHealthy
		if failing {
			state = logFailing
		}
		r.inbox.put(event{logState: state})
	}
	if r.wal.health.failing {
		r.handleLogState(logFailing)
	}
}

// handleLogState records whether the log fails. While it does, no message is accepted, and the policy
// holds back attempts that must not be sent without a record.
func (r *Relay) handleLogState(state logState) {
	r.logFailing = state == logFailing
	r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvRecording, CannotRecord: r.logFailing})
}
