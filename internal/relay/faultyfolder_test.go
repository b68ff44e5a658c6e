package relay

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
)

// folderOperation is an operation of a folder or of its files that can fail.
type folderOperation string

const (
	opOpen     folderOperation = "open"
	opRead     folderOperation = "read"
	opWrite    folderOperation = "write"
	opTruncate folderOperation = "truncate"
	opRename   folderOperation = "rename"
	opRemove   folderOperation = "remove"
	opList     folderOperation = "list"
	opLock     folderOperation = "lock"
)

// modifyingOperations are the operations that fail together when a folder is not writable.
var modifyingOperations = []folderOperation{opOpen, opWrite, opTruncate, opRename, opRemove}

// folderFault fails the operations of one kind from the first to the last, counted from 1.
type folderFault struct {
	operation   folderOperation
	first, last int
	err         error
	written     int // bytes of a failed write that still reach the file
}

// neverEnds, as the last operation of a fault, means that it does not end.
const neverEnds = 1 << 62

// faultyFolder is a logFolder on the operating system's file system that fails some operations.
type faultyFolder struct {
	osFolder
	mu     sync.Mutex
	counts map[folderOperation]int
	faults []folderFault
	// killAfter is the number of bytes that still reach the files. Every change after those is lost,
	// as if the process had been killed. Negative for no limit.
	killAfter int
	// failureProbability is the probability that an operation fails, drawn from random; zero for none.
	failureProbability float64
	random             *rand.Rand
	// ignoresTruncate makes Truncate do nothing.
	ignoresTruncate bool
	// controlPath is the path of a file that lists faults: one operation and one error name per line.
	controlPath string
}

func newFaultyFolder(faults ...folderFault) *faultyFolder {
	return &faultyFolder{counts: map[folderOperation]int{}, faults: faults, killAfter: -1}
}

// newControlledFolder takes its faults from a file, so that a test can control another process.
func newControlledFolder(controlPath string) *faultyFolder {
	f := newFaultyFolder()
	f.controlPath = controlPath
	return f
}

// fail makes the given operations fail from their next call on.
func (f *faultyFolder) fail(err error, written int, operations ...folderOperation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, operation := range operations {
		f.faults = append(f.faults, folderFault{operation, f.counts[operation] + 1, neverEnds, err, written})
	}
}

// heal removes all faults.
func (f *faultyFolder) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.failureProbability = nil, 0
}

func (f *faultyFolder) killed() bool { return f.killAfter == 0 }

// check counts an operation. It returns the operation's error and how many of size bytes are written.
func (f *faultyFolder) check(operation folderOperation, size int) (written int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[operation]++
	count := f.counts[operation]
	for _, fault := range f.faults {
		if fault.operation == operation && count >= fault.first && count <= fault.last {
			return min(fault.written, size), fault.err
		}
	}
	if f.failureProbability > 0 && f.random.Float64() < f.failureProbability {
		return f.random.IntN(size + 1), syscall.EIO
	}
	return size, f.controlledError(operation)
}

// controlErrors are the errors by their names in a control file.
var controlErrors = map[string]error{"EIO": syscall.EIO, "ENOSPC": syscall.ENOSPC}

// controlledError returns the error that the control file has for an operation.
func (f *faultyFolder) controlledError(operation folderOperation) error {
	if f.controlPath == "" {
		return nil
	}
	text, err := os.ReadFile(f.controlPath)
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(text)) {
		name, errorName, _ := strings.Cut(strings.TrimSpace(line), " ")
		if folderOperation(name) == operation {
			return controlErrors[errorName]
		}
	}
	return nil
}

// takeKillBudget returns how many of size bytes are still written before the kill, and counts them.
func (f *faultyFolder) takeKillBudget(size int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.killAfter < 0 {
		return size
	}
	size = min(size, f.killAfter)
	f.killAfter -= size
	return size
}

func (f *faultyFolder) Open(path string, mode openMode) (logFile, error) {
	if _, err := f.check(opOpen, 0); err != nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: err}
	}
	if f.killed() {
		return &faultyFile{f, nil}, nil
	}
	file, err := f.osFolder.Open(path, mode)
	if err != nil {
		return nil, err
	}
	return &faultyFile{f, file}, nil
}

func (f *faultyFolder) Read(path string) ([]byte, error) {
	if _, err := f.check(opRead, 0); err != nil {
		return nil, &fs.PathError{Op: "read", Path: path, Err: err}
	}
	return f.osFolder.Read(path)
}

func (f *faultyFolder) Rename(from, to string) error {
	if _, err := f.check(opRename, 0); err != nil {
		return &fs.PathError{Op: "rename", Path: from, Err: err}
	}
	if f.killed() {
		return nil
	}
	return f.osFolder.Rename(from, to)
}

func (f *faultyFolder) Remove(path string) error {
	if _, err := f.check(opRemove, 0); err != nil {
		return &fs.PathError{Op: "remove", Path: path, Err: err}
	}
	if f.killed() {
		return nil
	}
	return f.osFolder.Remove(path)
}

func (f *faultyFolder) List(dir string) ([]string, error) {
	if _, err := f.check(opList, 0); err != nil {
		return nil, &fs.PathError{Op: "list", Path: dir, Err: err}
	}
	return f.osFolder.List(dir)
}

func (f *faultyFolder) Lock(path string) (io.Closer, error) {
	if _, err := f.check(opLock, 0); err != nil {
		return nil, &fs.PathError{Op: "lock", Path: path, Err: err}
	}
	return f.osFolder.Lock(path)
}

// faultyFile is a file in a faultyFolder.
type faultyFile struct {
	folder *faultyFolder
	file   logFile // nil if it was opened after the kill
}

func (f *faultyFile) WriteAt(text []byte, offset int64) (int, error) {
	written, err := f.folder.check(opWrite, len(text))
	if err != nil {
		// A failed write leaves at least one byte unwritten.
		written = max(min(written, len(text)-1), 0)
		if keep := f.folder.takeKillBudget(written); keep > 0 {
			f.file.WriteAt(text[:keep], offset)
		}
		return written, &fs.PathError{Op: "write", Path: "log", Err: err}
	}
	if keep := f.folder.takeKillBudget(len(text)); keep > 0 {
		if n, err := f.file.WriteAt(text[:keep], offset); err != nil {
			return n, err
		}
	}
	return len(text), nil
}

func (f *faultyFile) Truncate(size int64) error {
	if _, err := f.folder.check(opTruncate, 0); err != nil {
		return &fs.PathError{Op: "truncate", Path: "log", Err: err}
	}
	if f.folder.killed() || f.folder.ignoresTruncate {
		return nil
	}
	return f.file.Truncate(size)
}

func (f *faultyFile) Close() error {
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}
