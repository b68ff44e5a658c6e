package relay

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Log slots in the state folder. While a successor process replaces its predecessor both run, and
// each writes a log in a slot of its own. A slot is held by a file lock, which any end of the process
// releases. Only the process that holds a slot's lock may replay and remove its logs. The one
// exception is the log that is handed over to the successor by its name.

const (
	walFileName    = "relay.wal"
	lockFilePrefix = "relay.lock."
	walSlotCount   = 4 // processes that can have logs in the folder at the same time
)

// logSlots is the state folder and the slots in it, from the view of one process.
type logSlots struct {
	folder     logFolder
	dir        string
	ownSlot    int               // the slot that this process writes to
	locks      map[int]io.Closer // held locks by slot: the own slot's and those of dead processes
	otherSlots []int             // slots that other processes hold
}

// lockLogSlots locks a slot for this process and all slots of dead processes.
func lockLogSlots(folder logFolder, dir string) (*logSlots, error) {
	l := &logSlots{folder: folder, dir: dir, ownSlot: -1, locks: map[int]io.Closer{}}
	for slot := range walSlotCount {
		lock, err := l.lock(slot)
		switch {
		case err != nil:
			l.release()
			return nil, err
		case lock == nil:
			l.otherSlots = append(l.otherSlots, slot)
		default:
			l.locks[slot] = lock
			if l.ownSlot < 0 {
				l.ownSlot = slot
			}
		}
	}
	if l.ownSlot < 0 {
		return nil, errors.New("log: all slots are held by other processes")
	}
	return l, nil
}

// lock locks a slot. It returns nil if another process holds the lock. The lock file is created if
// the slot has never been used.
func (l *logSlots) lock(slot int) (io.Closer, error) {
	lock, err := l.folder.Lock(filepath.Join(l.dir, lockFilePrefix+strconv.Itoa(slot)))
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	return lock, nil
}

// releaseOtherSlots releases the slots of dead processes. Nothing may be left in them.
func (l *logSlots) releaseOtherSlots() {
	for slot, lock := range l.locks {
		if slot != l.ownSlot {
			lock.Close()
			delete(l.locks, slot)
		}
	}
}

// release releases all locks, as the end of the process does.
func (l *logSlots) release() {
	for _, lock := range l.locks {
		lock.Close()
	}
	clear(l.locks)
}

// fileName is the name of a log of a slot. A slot normally has one log, with index 0. A log that is
// taken over gets the first unused index from 1, the own log after a cancelled hand-over the first
// unused one from 2.
func (l *logSlots) fileName(slot, index int) string {
	if slot == 0 && index == 0 {
		return walFileName
	}
	return fmt.Sprintf("%s.%d.%d", walFileName, slot, index)
}

func (l *logSlots) path(slot, index int) string { return filepath.Join(l.dir, l.fileName(slot, index)) }

// unusedPath returns a path in the own slot that no file has, for a log that is taken over.
func (l *logSlots) unusedPath() (string, error) {
	for index := 1; ; index++ {
		path := l.path(l.ownSlot, index)
		if _, err := l.folder.Size(path); errors.Is(err, fs.ErrNotExist) {
			return path, nil
		} else if err != nil {
			return "", fmt.Errorf("log: %w", err)
		}
	}
}

// files returns the paths of the logs of a slot.
func (l *logSlots) files(slot int) ([]string, error) {
	names, err := l.folder.List(l.dir)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	var found []string
	for _, name := range names {
		ofSlot := slot == 0 && name == walFileName || strings.HasPrefix(name, fmt.Sprintf("%s.%d.", walFileName, slot))
		if ofSlot && !strings.HasSuffix(name, compactionSuffix) {
			found = append(found, filepath.Join(l.dir, name))
		}
	}
	return found, nil
}

// otherLogsBytes is the disk space that the logs of other processes take, in whole disk blocks.
func (l *logSlots) otherLogsBytes() int64 {
	total := int64(0)
	for _, slot := range l.otherSlots {
		files, _ := l.files(slot)
		for _, path := range files {
			if size, err := l.folder.Size(path); err == nil {
				total += (size + 511) / 512 * 512
			}
		}
	}
	return total
}

// lockFreedSlot locks a slot that another process has released. It returns the slot and its lock, or
// -1 if there is none.
func (l *logSlots) lockFreedSlot() (int, io.Closer) {
	for i, slot := range l.otherSlots {
		if lock, err := l.lock(slot); err == nil && lock != nil {
			l.otherSlots = slices.Delete(l.otherSlots, i, i+1)
			return slot, lock
		}
	}
	return -1, nil
}
