package membership

import "context"

// Change is a change that a list makes to an endpoint. Was has the phase NoPhase if the endpoint is new; Now has the
// phase Removed if the endpoint is removed. Both have the same number.
type Change struct{ Was, Now Endpoint }

// Stage is a list that is being read into a directory. The list takes effect only after its end, with one exception:
// an endpoint that is up, and that the list says is draining or removed, is marked as draining as soon as its entry is
// read.
type Stage struct {
	directory        *Directory
	firstStaged      uint32                 // slot of the first staged record, plus one; 0 if there is none
	lastStaged       uint32                 // slot of the last one, plus one
	listed           map[uint32]*pageBitmap // slots that the list names, by the index of their page
	currentPage      *pageBitmap            // the entry of listed that was used last
	currentPageIndex uint32                 // its index in listed
}

// pageBitmap has a bit for each slot of a page.
type pageBitmap [pageRecords / 64]uint64

// Stage begins a list. It waits until the previous list is in force or aborted, or until ctx ends.
func (d *Directory) Stage(ctx context.Context) (*Stage, error) {
	select {
	case d.listLock <- struct{}{}:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	return &Stage{directory: d}, nil
}

// Entry stages an entry. If applyDrains is set, a drain takes effect at once; drains reports whether one did, which
// TakeDrained then returns.
func (s *Stage) Entry(e *Entry, applyDrains bool) (drains bool, err error) {
	d := s.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	existing, known := d.findID(e.ID)
	if !known && e.Phase == Removed {
		return false, nil
	}
	if known {
		s.markListed(existing)
		r := d.record(existing)
		if applyDrains && e.Phase != Up && r.flags&flagStaged == 0 && Phase(r.flags&phaseMask) == Up {
			r.flags = r.flags&^phaseMask | uint8(Draining)
			d.drainedSlots = append(d.drainedSlots, existing)
			drains = true
		}
		if r.flags&(flagStaged|flagHasUpdate) == 0 && d.matches(r, e) {
			return drains, nil
		}
		r.flags |= flagHasUpdate
	}
	slot, err := d.allocate()
	if err != nil {
		return drains, err
	}
	r := d.record(slot)
	r.flags = flagStaged
	if err := d.storeEntry(r, e); err != nil {
		*r = record{generation: r.generation, nextSlot: d.freeList}
		d.freeList = slot + 1
		return drains, err
	}
	d.setID(r, e.ID)
	if known {
		r.flags |= flagUpdate
	} else {
		d.idIndex.put(d.idHash(e.ID), slot, d.slotIDHash)
		s.markListed(slot)
	}
	r.nextSlot = 0
	if s.lastStaged != 0 {
		d.record(s.lastStaged - 1).nextSlot = slot + 1
	} else {
		s.firstStaged = slot + 1
	}
	s.lastStaged = slot + 1
	return drains, nil
}

// markListed records that the list names a slot. Bitmaps are created page by page, so that the memory of a short delta
// does not depend on the number of listed endpoints.
func (s *Stage) markListed(slot uint32) {
	if pageIndex := slot / pageRecords; s.currentPage == nil || s.currentPageIndex != pageIndex {
		if s.currentPage = s.listed[pageIndex]; s.currentPage == nil {
			s.currentPage = &pageBitmap{}
			if s.listed == nil {
				s.listed = map[uint32]*pageBitmap{}
			}
			s.listed[pageIndex] = s.currentPage
		}
		s.currentPageIndex = pageIndex
	}
	s.currentPage[slot%pageRecords/64] |= 1 << (slot % 64)
}

// Abort discards the list. Drains that have taken effect stay.
func (s *Stage) Abort() {
	for s.firstStaged != 0 {
		s.directory.mu.Lock()
		for range 64 {
			slot, update, ok := s.popStaged()
			if !ok {
				break
			}
			if !update {
				s.directory.idIndex.remove(s.directory.slotIDHash(slot), slot, s.directory.slotIDHash)
			} else if existing, ok := s.directory.findID(s.directory.idOf(s.directory.record(slot))); ok {
				s.directory.clearUpdate(existing)
			}
			s.directory.free(slot)
		}
		s.directory.mu.Unlock()
	}
	<-s.directory.listLock
}

// clearUpdate records that no update to an endpoint is staged any more.
func (d *Directory) clearUpdate(slot uint32) {
	r := d.record(slot)
	r.flags &^= flagHasUpdate
	if Phase(r.flags&phaseMask) == Removed && r.flags&(flagHeld|flagInRing) == 0 {
		d.deleteRecord(slot)
	}
}

// popStaged removes the first record from the list of staged records.
func (s *Stage) popStaged() (slot uint32, update, ok bool) {
	if s.firstStaged == 0 {
		return 0, false, false
	}
	slot = s.firstStaged - 1
	r := s.directory.record(slot)
	s.firstStaged = r.nextSlot
	return slot, r.flags&flagUpdate != 0, true
}

// Update is a list that was read to its end and is to be put in force.
type Update struct {
	Revision      int64
	Complete      bool // endpoints that the list does not name are removed
	stage         *Stage
	sweepPosition uint32 // slots below it have been searched for endpoints that the list does not name
	sweepEnd      uint32 // number of slots to search
	applied       bool   // all changes are in force
}

// Commit ends the list.
func (s *Stage) Commit(revision int64, complete bool) *Update {
	s.directory.mu.Lock()
	defer s.directory.mu.Unlock()
	s.directory.applying = true
	return &Update{Revision: revision, Complete: complete, stage: s, sweepEnd: s.directory.slotCount}
}

// wordsPerChange is the number of bitmap words whose search counts as one change; it takes about as long.
const wordsPerChange = 4

// Apply puts about maxChanges changes in force and appends them to into. It reports whether all changes of the list
// are in force.
func (u *Update) Apply(maxChanges int, into []Change) (_ []Change, done bool) {
	d, s := u.stage.directory, u.stage
	if u.applied {
		return into, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for ; maxChanges > 0; maxChanges-- {
		slot, update, ok := s.popStaged()
		if !ok {
			break
		}
		if change, ok := d.applyRecord(slot, update); ok {
			s.markListed(uint32(change.Now.Number) - 1) // a new endpoint may take a slot that was not marked
			into = append(into, change)
		}
	}
	for u.Complete && u.sweepPosition < u.sweepEnd && maxChanges > 0 {
		maxChanges--
		for range wordsPerChange {
			var word uint64
			if page := s.listed[u.sweepPosition/pageRecords]; page != nil {
				word = page[u.sweepPosition%pageRecords/64]
			}
			end := min(u.sweepPosition/64*64+64, u.sweepEnd)
			if word == ^uint64(0) {
				u.sweepPosition = end
			}
			for ; u.sweepPosition < end; u.sweepPosition++ {
				if r := d.record(u.sweepPosition); word&(1<<(u.sweepPosition%64)) == 0 && r.flags&flagInRing != 0 {
					maxChanges--
					into = append(into, d.removeEndpoint(u.sweepPosition))
				}
			}
			if u.sweepPosition >= u.sweepEnd {
				break
			}
		}
	}
	if s.firstStaged != 0 || u.Complete && u.sweepPosition < u.sweepEnd {
		return into, false
	}
	u.applied = true
	d.applying, d.hasDestinations = false, d.hasDestinations || d.endpoints > 0
	d.revision = u.Revision
	<-d.listLock
	return into, true
}

// removeEndpoint removes an endpoint from the list.
func (d *Directory) removeEndpoint(slot uint32) Change {
	change := Change{Was: d.endpointAt(slot), Now: d.endpointAt(slot)}
	change.Now.Phase = Removed
	r := d.record(slot)
	d.unlink(slot)
	r.flags = r.flags&^phaseMask | uint8(Removed)
	if r.flags&(flagHeld|flagHasUpdate) == 0 {
		d.deleteRecord(slot)
	}
	return change
}

// applyRecord puts a staged record in force. It returns false if that changes nothing.
func (d *Directory) applyRecord(slot uint32, update bool) (Change, bool) {
	r := d.record(slot)
	if !update {
		r.flags &^= flagStaged
		d.link(slot)
		now := d.endpointAt(slot)
		return Change{Was: Endpoint{Number: now.Number, Dest: now.Dest}, Now: now}, true
	}
	existingSlot, ok := d.findID(d.idOf(r))
	if !ok { // an earlier entry of the same list removed the endpoint
		if Phase(r.flags&phaseMask) == Removed {
			d.free(slot)
			return Change{}, false
		}
		r.flags &^= flagUpdate
		d.idIndex.put(d.slotIDHash(slot), slot, d.slotIDHash)
		return d.applyRecord(slot, false)
	}
	existing := d.record(existingSlot)
	inRing := existing.flags&flagInRing != 0
	change := Change{Was: d.endpointAt(existingSlot)}
	if Phase(r.flags&phaseMask) == Removed {
		d.free(slot)
		if change.Now = change.Was; inRing {
			change = d.removeEndpoint(existingSlot)
		}
		d.clearUpdate(existingSlot)
		return change, inRing
	}
	if inRing && existing.dest != r.dest {
		d.unlink(existingSlot)
		inRing = false
	}
	d.releaseContent(existing)
	existing.ip, existing.port, existing.dest, existing.rate, existing.attributesID =
		r.ip, r.port, r.dest, r.rate, r.attributesID
	existing.flags = existing.flags&^(phaseMask|flagAddrInTable|flagHasUpdate) | r.flags&(phaseMask|flagAddrInTable)
	// The existing record has taken over the table entries of the staged one, which releases only that of its id. The
	// extra reference to the attributes makes up for the one that free releases.
	r.flags &^= flagAddrInTable
	r.rate, r.attributesID = 0, uint16(d.attributes.acquire(d.attributes.values[r.attributesID]))
	d.free(slot)
	if !inRing {
		d.link(existingSlot)
	}
	change.Now = d.endpointAt(existingSlot)
	return change, true
}

// TakeDrained takes up to maxChanges of the endpoints that a list marked as draining while it was read, and appends
// the changes to into. It reports whether there are no more.
func (d *Directory) TakeDrained(maxChanges int, into []Change) (_ []Change, done bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := min(maxChanges, len(d.drainedSlots))
	for _, slot := range d.drainedSlots[:n] {
		if r := d.record(slot); Phase(r.flags&phaseMask) == Draining {
			now := d.endpointAt(slot)
			was := now
			was.Phase = Up
			into = append(into, Change{was, now})
		}
	}
	if d.drainedSlots = d.drainedSlots[n:]; len(d.drainedSlots) == 0 {
		d.drainedSlots = nil
	}
	return into, d.drainedSlots == nil
}
