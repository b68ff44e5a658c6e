package membership

import "context"

// Change is what a list changed of an endpoint: Was is of phase NoPhase where it
// is new, Now of phase Removed where it has gone. Its number is the same in both.
type Change struct{ Was, Now Endpoint }

// Stage is a list that is being read into a directory. Nothing of it is in force
// before its end, but for the word that an endpoint which is up shall get nothing
// new: that binds as it is read.
type Stage struct {
	d     *Directory
	first uint32 // of the staged records, plus one
	last  uint32
	seen  map[uint32]*seenPage // slots that the list names, by page
	page  *seenPage            // the one that was used last
	paged uint32               // and its number
}

// seenPage is a bit for each slot of a page.
type seenPage [pageSize / 64]uint64

// Stage begins a list. It waits until the one before it is in force, or ctx ends.
func (d *Directory) Stage(ctx context.Context) (*Stage, error) {
	select {
	case d.busy <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	return &Stage{d: d}, nil
}

// Entry takes an entry. Where bind is set, word of a drain binds at once; told
// reports whether there was any, for Drained.
func (s *Stage) Entry(e *Entry, bind bool) (told bool, err error) {
	d := s.d
	d.mu.Lock()
	defer d.mu.Unlock()
	old, known := d.find(e.ID)
	if !known && e.Phase == Removed {
		return false, nil
	}
	if known {
		s.see(old)
		r := d.at(old)
		if bind && e.Phase != Up && r.flags&flagStaged == 0 && Phase(r.flags&phaseMask) == Up {
			r.flags = r.flags&^phaseMask | uint8(Draining)
			d.drained = append(d.drained, old)
			told = true
		}
		if r.flags&(flagStaged|flagUpdating) == 0 && d.same(r, e) {
			return told, nil
		}
		r.flags |= flagUpdating
	}
	slot, err := d.alloc()
	if err != nil {
		return told, err
	}
	r := d.at(slot)
	r.flags = flagStaged
	if err := d.fill(r, e); err != nil {
		*r = record{gen: r.gen, next: d.free}
		d.free = slot + 1
		return told, err
	}
	d.setID(r, e.ID)
	if known {
		r.flags |= flagUpdate
	} else {
		d.ids.put(d.idHash(e.ID), slot, d.slotHash)
		s.see(slot)
	}
	r.next = 0
	if s.last != 0 {
		d.at(s.last - 1).next = slot + 1
	} else {
		s.first = slot + 1
	}
	s.last = slot + 1
	return told, nil
}

// see notes that the list names a slot. A change of one entry makes one page, whatever else is listed.
func (s *Stage) see(slot uint32) {
	if n := slot / pageSize; s.page == nil || s.paged != n {
		if s.page = s.seen[n]; s.page == nil {
			s.page = &seenPage{}
			if s.seen == nil {
				s.seen = map[uint32]*seenPage{}
			}
			s.seen[n] = s.page
		}
		s.paged = n
	}
	s.page[slot%pageSize/64] |= 1 << (slot % 64)
}

// Abort gives the list up: it changes nothing.
func (s *Stage) Abort() {
	for s.first != 0 {
		s.d.mu.Lock()
		for range 64 {
			slot, update, ok := s.pop()
			if !ok {
				break
			}
			if !update {
				s.d.ids.remove(s.d.slotHash(slot), slot, s.d.slotHash)
			} else if old, ok := s.d.find(s.d.idOf(s.d.at(slot))); ok {
				s.d.settle(old)
			}
			s.d.release(slot)
		}
		s.d.mu.Unlock()
	}
	<-s.d.busy
}

// settle notes that no update of an endpoint waits any more.
func (d *Directory) settle(slot uint32) {
	r := d.at(slot)
	r.flags &^= flagUpdating
	if Phase(r.flags&phaseMask) == Removed && r.flags&(flagHeld|flagLinked) == 0 {
		d.forget(slot)
	}
}

// pop takes out the first staged record.
func (s *Stage) pop() (slot uint32, update, ok bool) {
	if s.first == 0 {
		return 0, false, false
	}
	slot = s.first - 1
	r := s.d.at(slot)
	s.first = r.next
	return slot, r.flags&flagUpdate != 0, true
}

// Update is a list that was read to its end, to be put in force.
type Update struct {
	Revision int64
	Complete bool // what it does not name is gone
	stage    *Stage
	swept    uint32 // slots looked at for such as it does not name
	limit    uint32
	over     bool
}

// Commit ends the list.
func (s *Stage) Commit(revision int64, complete bool) *Update {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.changing = true
	return &Update{Revision: revision, Complete: complete, stage: s, limit: s.d.slots}
}

// sweepWords is how many words of seen are looked at in about the time of a change.
const sweepWords = 4

// Apply puts up to most changes in force and appends them to into. It reports
// whether all are.
func (u *Update) Apply(most int, into []Change) (_ []Change, done bool) {
	d, s := u.stage.d, u.stage
	if u.over {
		return into, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for ; most > 0; most-- {
		slot, update, ok := s.pop()
		if !ok {
			break
		}
		if c, ok := d.commit(slot, update); ok {
			s.see(uint32(c.Now.Number) - 1) // it may have come anew
			into = append(into, c)
		}
	}
	for u.Complete && u.swept < u.limit && most > 0 {
		most--
		for range sweepWords {
			var word uint64
			if page := s.seen[u.swept/pageSize]; page != nil {
				word = page[u.swept%pageSize/64]
			}
			end := min(u.swept/64*64+64, u.limit)
			if word == ^uint64(0) {
				u.swept = end
			}
			for ; u.swept < end; u.swept++ {
				if r := d.at(u.swept); word&(1<<(u.swept%64)) == 0 && r.flags&flagLinked != 0 {
					most--
					into = append(into, d.leave(u.swept))
				}
			}
			if u.swept >= u.limit {
				break
			}
		}
	}
	if s.first != 0 || u.Complete && u.swept < u.limit {
		return into, false
	}
	u.over = true
	d.changing, d.named = false, d.named || d.endpoints > 0
	d.revision = u.Revision
	<-d.busy
	return into, true
}

// leave takes an endpoint off the list.
func (d *Directory) leave(slot uint32) Change {
	c := Change{Was: d.view(slot), Now: d.view(slot)}
	c.Now.Phase = Removed
	r := d.at(slot)
	d.unlink(slot)
	r.flags = r.flags&^phaseMask | uint8(Removed)
	if r.flags&(flagHeld|flagUpdating) == 0 {
		d.forget(slot)
	}
	return c
}

// commit puts a staged record in force; false where it changes nothing.
func (d *Directory) commit(slot uint32, update bool) (Change, bool) {
	r := d.at(slot)
	if !update {
		r.flags &^= flagStaged
		d.link(slot)
		now := d.view(slot)
		return Change{Was: Endpoint{Number: now.Number, Dest: now.Dest}, Now: now}, true
	}
	old, ok := d.find(d.idOf(r))
	if !ok { // the same list removed it before
		if Phase(r.flags&phaseMask) == Removed {
			d.release(slot)
			return Change{}, false
		}
		r.flags &^= flagUpdate
		d.ids.put(d.slotHash(slot), slot, d.slotHash)
		return d.commit(slot, false)
	}
	o := d.at(old)
	linked := o.flags&flagLinked != 0
	c := Change{Was: d.view(old)}
	if Phase(r.flags&phaseMask) == Removed {
		d.release(slot)
		if c.Now = c.Was; linked {
			c = d.leave(old)
		}
		d.settle(old)
		return c, linked
	}
	if linked && o.dest != r.dest {
		d.unlink(old)
		linked = false
	}
	d.dropContent(o)
	o.ip, o.port, o.dest, o.rate, o.place = r.ip, r.port, r.dest, r.rate, r.place
	o.flags = o.flags&^(phaseMask|flagTable|flagUpdating) | r.flags&(phaseMask|flagTable)
	// What the tables hold for it is the old record's now; its id it gives back.
	r.flags &^= flagTable
	r.rate, r.place = 0, uint16(d.places.take(d.places.vals[r.place]))
	d.release(slot)
	if !linked {
		d.link(old)
	}
	c.Now = d.view(old)
	return c, true
}

// Drained appends up to most of the endpoints that a list being read says to
// drain, or removes; it reports whether there are no more.
func (d *Directory) Drained(most int, into []Change) (_ []Change, done bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(most, len(d.drained))
	for _, slot := range d.drained[:n] {
		if r := d.at(slot); Phase(r.flags&phaseMask) == Draining {
			now := d.view(slot)
			was := now
			was.Phase = Up
			into = append(into, Change{was, now})
		}
	}
	if d.drained = d.drained[n:]; len(d.drained) == 0 {
		d.drained = nil
	}
	return into, d.drained == nil
}
