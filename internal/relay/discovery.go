package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/membership"
)

// Member is an endpoint in discovery's list.
type Member = membership.Member

// List is discovery's list, or what changed in it.
type List = membership.List

const (
	listPath    = "/registry/instances"
	noticePath  = "/reports"
	discSilence = 3500 * time.Millisecond // a watch says something every 2 s
	discAnswer  = time.Second             // the agent answers at once, or is down
	discPause   = 200 * time.Millisecond  // the round of a small fleet
	discMost    = 1600 * time.Millisecond // its longest pause is about this
	discTurn    = 60 * time.Millisecond   // discovery is thought to take this for one relay's request
	discQueue   = 3 * time.Second         // no answer is waited for longer, however large the fleet
	discRound   = 30 * time.Second        // nor does a round last longer
	discTold    = 4 * time.Second         // after a move word counts as told so soon, whether it was asked for or not
	discDue     = 6 * time.Second         // the same after the last word of a watch that has fallen silent
	discRest    = 2900 * time.Millisecond // no pause is longer than this by half: with an answer's time it is inside discDue
	askMost     = 3                       // requests without an answer that are open beside each other
	answerSkip  = 4 << 20                 // bytes of an answer to a notice that are read past
)

// newPlainClient makes a client for the agent on this machine: few kept
// connections, no proxy, no second protocol.
func newPlainClient(conns int, answer time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: discAnswer}).DialContext,
			MaxIdleConnsPerHost:   conns,
			MaxConnsPerHost:       conns,
			ResponseHeaderTimeout: answer,
			IdleConnTimeout:       30 * time.Second,
			DisableCompression:    true,
			Protocols:             http1(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	return p
}

// discovery keeps a watch on the list and hands on its news.
type discovery struct {
	addr    string
	base    string           // of the address that is watched now
	known   int64            // the revision of a list had before it was first asked; negative for none
	moves   *mailbox[string] // further addresses, each in the place of the one before
	log     *slog.Logger
	client  *http.Client
	silence time.Duration
	answer  time.Duration // how long an answer is waited for
	round   time.Duration // in which all relays together ask once again
	grace   time.Duration // in which a watch that has ended is opened anew
	clock   clock.Clock
	due     clock.Instant // when further word counts as told, whether it comes or not
	served  clock.Instant // since when the watch is answered
	failed  int           // refusals in a row
	mute    int           // requests in a row that had no answer
	begin   beginList
}

// beginList begins a list. It returns once the one before it is in force, or with ctx's end.
type beginList func(ctx context.Context) (membership.Receiver, error)

// newDiscovery makes the discovery of one of so many relays; known is the
// revision of the list that this one has already, or negative. Where relays are many, what each does by
// itself adds up: all start or lose their watch at one moment, and if each asks
// at once, or at a steady pace, or gives an answer up that is still in the
// queue, discovery stays overloaded for good. A round is the time that it takes
// for one request of each.
func newDiscovery(addr string, relays int, known int64, clk clock.Clock, log *slog.Logger, begin beginList) *discovery {
	all := time.Duration(relays) * discTurn
	answer := min(max(all, discAnswer), discQueue)
	return &discovery{addr: addr, known: known, clock: clk, moves: newMailbox[string](), log: log, client: newPlainClient(4, 0),
		silence: discSilence, answer: answer, round: min(max(all, discPause), discRound), begin: begin}
}

// pause is how long to leave discovery alone after so many failures in a row;
// u is a draw from [0, 1). The first lasts a round at most, in which the requests
// of the others, that failed in step, are worked off. It doubles up to a round and a
// half, and never beyond discRest, however large the fleet: discovery may come back
// right behind a refusal, and what it has counts as told 6 s later.
func (d *discovery) pause(failed int, u float64) time.Duration {
	most := min(max(d.round*3/2, discMost), discRest)
	if failed < 8 { // more doublings pass it anyway
		most = min(min(d.round, discTold*5/8)<<max(failed-1, 0), most)
	}
	return time.Duration((0.5 + u) * float64(most))
}

// run watches one address after another until ctx ends.
func (d *discovery) run(ctx context.Context) { runPerAddress(ctx, d.addr, d.moves, d.at) }

// at watches one address. Versions are that address's own, so it begins with
// the whole list, but at the start of a relay that has one already: there a watch
// brings what is new. It is asked for at once, however many relays start: what
// the agent on this machine has counts as told, so a relay that waited for its
// turn would send to endpoints that it is held to know as draining. Those that
// are refused then are spread by their pauses. What is heard is passed on with
// no delay: the grace after word of a drain counts from when discovery wrote it.
func (d *discovery) at(ctx context.Context, addr string) {
	d.base = "http://" + addr
	defer d.client.CloseIdleConnections()
	rev, whole := int64(0), false
	if d.known >= 0 {
		rev, whole, d.known = d.known, true, -1
	}
	d.due = d.clock.Now().Add(discTold)
	d.failed, d.mute = 0, 0
	older := clock.Instant(0) // since when only lists from before rev come
	for ctx.Err() == nil {
		heard, err := false, error(nil)
		if !whole {
			var l *fetched
			if l, err = d.fetch(ctx, rev); err == nil && l.Revision < rev {
				if older.IsZero() {
					older = d.clock.Now()
				}
				if clock.Since(d.clock, older) < discTold { // later on it is taken for one that counts anew
					err = fmt.Errorf("discovery: %w", errOlder)
					l.to.Abort()
				}
			}
			if err == nil {
				rev, whole, older = l.Revision, true, 0
				l.to.End(l.Revision, true)
			}
		}
		if whole {
			rev, whole, heard, err = d.watch(ctx, rev)
		}
		if ctx.Err() != nil {
			return
		}
		pause := time.Duration(0)
		if heard {
			d.failed, d.mute = 0, 0
		}
		switch {
		case heard && clock.Since(d.clock, d.served) >= discAnswer: // it served for a while: what the agent has counts all the same
			pause = time.Duration(rand.Float64() * float64(min(d.grace, d.round)))
		case isSilent(err): // what is asked while discovery is down is answered as it returns
			d.mute++
		default:
			d.failed++
			pause = d.rest(d.failed, rand.Float64())
		}
		if !older.IsZero() { // the next list is to be there when older ones count
			pause = min(pause, max(discTold-clock.Since(d.clock, older), 0)+discPause)
		}
		d.log.Warn("discovery: watch over", "revision", rev, "whole", whole, "pause_ms", pause.Milliseconds(), "err", err)
		sleep(ctx, pause)
	}
}

// rest is the pause after so many refusals in a row. As long as word does not count
// as told there is another try before it does.
func (d *discovery) rest(failed int, u float64) time.Duration {
	pause := d.pause(failed, u)
	if left := clock.Until(d.clock, d.due); left > 0 {
		pause = min(pause, max(time.Duration((0.25+u/2)*float64(left)), discPause))
	}
	return pause
}

var (
	errSilent = errors.New("silent")
	errOlder  = errors.New("a list from before the one that is known")
)

// isSilent reports whether nothing was heard for the time that was allowed. What a
// system call says at once is none of that, also where its errno counts as a timeout.
func isSilent(err error) bool {
	if _, ok := errnoOf(err); ok {
		return false
	}
	var ne net.Error
	return errors.Is(err, errSilent) || errors.As(err, &ne) && ne.Timeout()
}

// wait is how long requests are left alone before another goes out beside them,
// after so many that had no answer. The first time another try must still fit in
// before word counts as told: the request may be lost. Discovery that is down answers
// what is open as it returns, or has forgotten it: so what is open stays open, and the
// next one goes out in time for word to be told within 6 s of its return.
func (d *discovery) wait(mute int, u float64) time.Duration {
	if mute > 0 {
		return time.Duration((0.75 + u/2) * float64(min(max(d.answer, d.round), discSilence)))
	}
	return min(d.answer, max(clock.Until(d.clock, d.due)/2, discAnswer))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// opened is a request, with its answer once the head of that has come.
type opened struct {
	resp *http.Response
	ctx  context.Context
	stop context.CancelCauseFunc
}

// end gives an answer back, and its connection with it unless it was read to its end.
func (o *opened) end() {
	if o.resp != nil {
		o.resp.Body.Close()
	}
	o.stop(nil)
}

// statusError is an answer other than 200.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// open asks until an answer begins. Where none does a further request goes out beside
// those that are open, up to askMost of them, and the first answer counts: one queue for
// all relays is worked off in its order, so a request that were given up and made again
// would only lose its place, and one that was forgotten at the other end must not be the
// only one. An error tells that a request was refused and no other is open.
func (d *discovery) open(ctx context.Context, url string) (*opened, error) {
	type result struct {
		o   *opened
		err error
	}
	results, left := make(chan result), make(chan struct{})
	defer close(left)
	var out []*opened
	defer func() {
		for _, o := range out {
			o.stop(nil)
		}
	}()
	ask := func() error {
		o := &opened{}
		o.ctx, o.stop = context.WithCancelCause(ctx)
		req, err := http.NewRequestWithContext(o.ctx, http.MethodGet, url, nil)
		if err != nil {
			o.stop(nil)
			return err
		}
		out = append(out, o)
		go func() {
			resp, err := d.client.Do(req)
			if o.resp = resp; err == nil && resp.StatusCode != http.StatusOK {
				err = statusError(resp.StatusCode)
			}
			select {
			case results <- result{o, err}:
			case <-left:
				o.end()
			}
		}()
		return nil
	}
	if err := ask(); err != nil {
		return nil, err
	}
	next := time.NewTimer(d.wait(d.mute, rand.Float64()))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-next.C:
			d.mute++
			if len(out) == askMost {
				out[0].stop(errSilent)
				out = out[1:]
			}
			if err := ask(); err != nil {
				return nil, err
			}
			wait := d.wait(d.mute, rand.Float64())
			next.Reset(wait)
			d.log.Warn("discovery: no answer, asked once more beside", "open", len(out), "next_ms", wait.Milliseconds())
		case r := <-results:
			at := slices.Index(out, r.o)
			if at >= 0 {
				out = slices.Delete(out, at, at+1)
			}
			if at >= 0 && r.err == nil {
				return r.o, nil
			}
			r.o.end()
			if at < 0 {
				continue // stopped to make room
			}
			if len(out) == 0 {
				return nil, r.err
			}
			d.failed++ // another may still be answered
			next.Reset(d.rest(d.failed, rand.Float64()))
		}
	}
}

// fetched is a whole list that was read and is neither ended nor aborted.
type fetched struct {
	membership.Header
	to membership.Receiver
}

// fetch asks for the whole list; rev is that of the one that is known. It has as long as
// it goes on.
func (d *discovery) fetch(ctx context.Context, rev int64) (*fetched, error) {
	o, err := d.open(ctx, d.base+listPath)
	if err != nil {
		return nil, fmt.Errorf("discovery: list: %w", err)
	}
	defer o.end()
	to, err := d.begin(o.ctx)
	if err != nil {
		return nil, fmt.Errorf("discovery: list: %w", err)
	}
	quiet := time.AfterFunc(d.silence, func() { o.stop(errSilent) })
	defer quiet.Stop()
	h, err := membership.Read(membership.Paced(o.resp.Body, func() { quiet.Reset(d.silence) }), false, binding(to, rev))
	if cause := context.Cause(o.ctx); err != nil && cause != nil {
		err = cause
	}
	if err == nil && !h.Complete {
		err = errors.New("the whole list was asked for, a part came")
	}
	if err != nil {
		to.Abort()
		return nil, fmt.Errorf("discovery: list: %w", err)
	}
	return &fetched{h, to}, nil
}

// binding hands entries on. Word of a drain binds in a list that is no older than rev.
func binding(to membership.Receiver, rev int64) func(*membership.Header, *membership.Entry) error {
	return func(h *membership.Header, e *membership.Entry) error {
		return to.Entry(e, h.HasRevision && h.Revision >= rev)
	}
}

// watch follows the changes after a version. whole tells whether the list is
// still known up to the version that it returns; after a line that cannot be
// read it is not, and the whole list must be had again. heard tells that
// discovery took the watch.
func (d *discovery) watch(ctx context.Context, from int64) (rev int64, whole, heard bool, err error) {
	o, err := d.open(ctx, d.base+listPath+"?watch=1&from="+strconv.FormatInt(from, 10))
	if err != nil {
		// One that is overloaded says nothing of the version, and asking it for
		// the whole list besides would double what it has to do.
		var status statusError
		return from, !errors.As(err, &status) || status >= 500, false, fmt.Errorf("discovery: watch: %w", err)
	}
	defer o.end()
	d.served = d.clock.Now()
	quiet := time.AfterFunc(d.silence, func() { o.stop(errSilent) })
	defer quiet.Stop()
	lines := membership.NewLines(o.resp.Body, func() {
		quiet.Reset(d.silence)
		d.due = d.clock.Now().Add(discDue)
		if !heard {
			d.log.Info("discovery: watching", "revision", from)
		}
		heard = true
	})
	for rev = from; err == nil; {
		first := !heard
		var list bool
		if list, err = lines.Next(); err != nil {
			break
		}
		if !list && !first { // nothing is new, which only the start waits to hear
			continue
		}
		to, err := d.begin(o.ctx)
		if err != nil {
			return rev, true, heard, fmt.Errorf("discovery: %w", err)
		}
		quiet.Reset(d.silence) // it may have waited for the list before this one
		if !list {
			to.End(rev, false)
			continue
		}
		h, err := membership.Read(lines, false, binding(to, rev))
		if err == nil && h.Revision < rev {
			err = errOlder
		}
		if err == nil {
			rev = h.Revision
			to.End(h.Revision, h.Complete)
			continue
		}
		to.Abort()
		if torn := lines.Torn(); torn == nil {
			return rev, false, heard, fmt.Errorf("discovery: %w", err)
		}
	}
	if cause := context.Cause(o.ctx); cause != nil {
		err = cause
	}
	return rev, true, heard, fmt.Errorf("discovery: %w", err)
}

// Words for the ends that a notice tells.
const (
	endGivenUp    = "given_up"
	endHandedBack = "handed_back"
)

// notice tells the platform how a message ended.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms,omitempty"`

	until clock.Instant // the end of the message's time
}

// The rule gives a notice 300 ms past the message's time, and most are due at
// that time. The agent is on this machine and answers at once: what has no
// answer after noticeWait goes out again beside the try that waits, on a new
// connection, since repeats are harmless and the one that is lost costs the
// message.
const (
	noticeBatch = 64
	noticeConns = 4                     // tries out at once
	noticeWait  = 50 * time.Millisecond // from a try to the next; doubles
	noticePause = 10 * time.Millisecond // from a failed try to the next; doubles
	noticeMost  = 500 * time.Millisecond
	noticeSlack = 100 * time.Millisecond // past a message's time, after which its notice is logged as late
)

// notices sends notices until each has been taken.
type notices struct {
	clock  clock.Clock
	addr   string
	url    string           // at the address that is used now
	moves  *mailbox[string] // further addresses, each in the place of the one before
	log    *slog.Logger
	client *http.Client
	in     *mailbox[notice]
	left   []*owedNotice // not confirmed yet, in the order in which they came
	tries  []*noticeTry  // out, the oldest first
	over   *mailbox[*noticeTry]
	taken  func(id string)
	owed   atomic.Int64 // ends given and not confirmed
}

// owedNotice is one that is not confirmed yet.
type owedNotice struct {
	notice
	tries int
	next  clock.Instant // when it is sent again
	alone bool          // it was refused as unreadable, or another of its batch
	told  bool
}

// noticeTry is one POST.
type noticeTry struct {
	batch  []*owedNotice
	began  clock.Instant
	cancel context.CancelFunc
	status int
	err    error
}

func newNotices(addr string, clk clock.Clock, log *slog.Logger, taken func(string)) *notices {
	return &notices{clock: clk, addr: addr, moves: newMailbox[string](), log: log, client: newPlainClient(noticeConns, discAnswer),
		in: newMailbox[notice](), over: newMailbox[*noticeTry](), taken: taken}
}

// run sends to one address after another until ctx ends.
func (n *notices) run(ctx context.Context) { runPerAddress(ctx, n.addr, n.moves, n.at) }

// at sends to one address; what is not confirmed there stays for the next.
func (n *notices) at(ctx context.Context, addr string) {
	n.url = "http://" + addr + noticePath
	for _, x := range n.left {
		x.tries, x.next = 0, 0
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var fresh []notice
	var over []*noticeTry
	for ctx.Err() == nil {
		over = n.over.takeAll(over)
		for _, t := range over {
			n.book(t)
		}
		fresh = n.in.takeAll(fresh)
		for _, x := range fresh {
			n.left = append(n.left, &owedNotice{notice: x})
		}
		timer.Reset(n.send(ctx, n.clock.Now()))
		select {
		case <-ctx.Done():
		case <-n.in.ready:
		case <-n.over.ready:
		case <-timer.C:
		}
	}
	for { // all tries end with ctx
		over = n.over.takeAll(over)
		for _, t := range over {
			n.book(t)
		}
		if len(n.tries) == 0 {
			break
		}
		<-n.over.ready
	}
	n.client.CloseIdleConnections()
}

// send makes the tries that are due and tells how long it is to the next. Where
// as many are out as may be, the oldest makes room once it should have had its
// answer; its notices are sent again like all that have none.
func (n *notices) send(ctx context.Context, now clock.Instant) time.Duration {
	for {
		due, next := n.due(now)
		if len(due) == 0 {
			return next.Sub(now)
		}
		if len(n.tries) >= noticeConns {
			if free := n.tries[0].began.Add(noticeWait); free > now {
				return free.Sub(now)
			}
			n.tries[0].cancel()
			n.tries = n.tries[1:]
		}
		again := false
		for _, x := range due {
			again = again || x.tries > 0
			x.next = now.Add(backoff(noticeWait, x.tries))
			x.tries++
		}
		if again { // what was kept may have gone silent, all of it at once
			n.client.CloseIdleConnections()
		}
		n.try(ctx, due, now)
	}
}

// due lists what can go out in one try by now; where nothing can, next is when
// something will.
func (n *notices) due(now clock.Instant) (due []*owedNotice, next clock.Instant) {
	next = now.Add(time.Hour)
	for _, x := range n.left {
		switch {
		case x.next > now:
			if x.next < next {
				next = x.next
			}
		case x.alone && len(due) == 0:
			return []*owedNotice{x}, next
		case !x.alone:
			if due = append(due, x); len(due) == noticeBatch {
				return due, next
			}
		}
	}
	return due, next
}

func backoff(first time.Duration, failed int) time.Duration {
	return min(first<<min(failed, 16), noticeMost)
}

func (n *notices) try(ctx context.Context, batch []*owedNotice, now clock.Instant) {
	ctx, cancel := context.WithCancel(ctx)
	t := &noticeTry{batch: batch, began: now, cancel: cancel}
	n.tries = append(n.tries, t)
	go func() {
		t.status, t.err = n.post(ctx, batch)
		n.over.put(t)
	}()
}

// book takes note of how a try ended.
func (n *notices) book(t *noticeTry) {
	t.cancel()
	n.tries = slices.DeleteFunc(n.tries, func(x *noticeTry) bool { return x == t })
	unread := t.status == http.StatusBadRequest
	now, open := n.clock.Now(), 0
	for _, x := range t.batch {
		switch {
		case x.told:
		case t.err == nil || unread && len(t.batch) == 1:
			n.settle(x, t.err, now)
		case unread: // one of them cannot be read; it must not hold up the others
			x.alone, x.next = true, now
		default:
			open++
			if at := now.Add(backoff(noticePause, x.tries-1)); at < x.next {
				x.next = at
			}
		}
	}
	if open > 0 && !errors.Is(t.err, context.Canceled) {
		n.log.Warn("notices: not taken, sent again", "count", open, "err", t.err)
	}
	n.left = slices.DeleteFunc(n.left, func(x *owedNotice) bool { return x.told })
	for _, o := range n.tries { // nothing is left of it to be told
		if !slices.ContainsFunc(o.batch, func(x *owedNotice) bool { return !x.told }) {
			o.cancel()
		}
	}
}

func (n *notices) settle(x *owedNotice, err error, now clock.Instant) {
	x.told = true
	n.owed.Add(-1)
	n.log.Debug("told", "message", x.Message, "outcome", x.Outcome, "left_ms", x.until.Sub(now).Milliseconds(), "tries", x.tries)
	if err != nil {
		n.log.Error("notices: cannot be read", "message", x.Message, "err", err)
	} else if late := now.Sub(x.until); late > noticeSlack {
		n.log.Warn("notices: told late", "message", x.Message, "late_ms", late.Milliseconds(), "tries", x.tries)
	}
	n.taken(x.Message)
}

func (n *notices) post(ctx context.Context, batch []*owedNotice) (int, error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body) // one object a line
	for _, x := range batch {
		if err := enc.Encode(x.notice); err != nil {
			return 0, fmt.Errorf("notices: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, n.url, &body)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("notices: %w", err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, answerSkip))
	if resp.StatusCode != http.StatusNoContent {
		return resp.StatusCode, fmt.Errorf("notices: status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}
