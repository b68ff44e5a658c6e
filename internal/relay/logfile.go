package relay

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

// logFile is the part of an open file that the log uses.
type logFile interface {
	WriteAt(data []byte, offset int64) (int, error)
	Truncate(size int64) error
	Close() error
}

// openMode says whether Open creates a missing file and truncates an existing one.
type openMode int

const (
	openExisting  = openMode(os.O_RDWR)
	openOrCreate  = openMode(os.O_RDWR | os.O_CREATE)
	openTruncated = openMode(os.O_RDWR | os.O_CREATE | os.O_TRUNC)
)

const logFilePermissions = 0o600

// logFolder is the part of the file system that the log uses. Paths are full paths of files in the
// state folder.
type logFolder interface {
	Open(path string, mode openMode) (logFile, error)
	Read(path string) ([]byte, error)
	Rename(from, to string) error
	Remove(path string) error
	// Size returns the size of a file, or fs.ErrNotExist if there is none.
	Size(path string) (int64, error)
	// List returns the names of the files in a folder, without subfolders.
	List(dir string) ([]string, error)
	// Lock locks a file, which is created if it does not exist. It returns nil and no error if
	// another process holds the lock. Closing the result, or any end of the process, releases it.
	Lock(path string) (io.Closer, error)
}

// osFolder is the logFolder on the operating system's file system.
type osFolder struct{}

func (osFolder) Open(path string, mode openMode) (logFile, error) {
	file, err := os.OpenFile(path, int(mode), logFilePermissions)
	if err != nil {
		return nil, err // a nil *os.File would make a non-nil logFile
	}
	return file, nil
}

func (osFolder) Read(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFolder) Rename(from, to string) error { return os.Rename(from, to) }

func (osFolder) Remove(path string) error { return os.Remove(path) }

func (osFolder) Size(path string) (int64, error) {
	info, err := os.Lstat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (osFolder) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

func (osFolder) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, int(openOrCreate), logFilePermissions)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, fmt.Errorf("lock: %w", err)
}
