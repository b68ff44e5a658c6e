package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"troutusher/review/testdata/stage"
)

// folderWatch measures the size of the state folder as the platform does: each file in whole 512 bytes.
type folderWatch struct {
	dir     string
	record  *stage.Record
	stop    chan struct{}
	done    chan struct{}
	largest int64
}

type fileState struct {
	inode uint64
	size  int64
}

func watchFolder(dir string, record *stage.Record) *folderWatch {
	f := &folderWatch{dir: dir, record: record, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(f.done)
		over := false
		for {
			select {
			case <-f.stop:
				return
			default:
			}
			size, text := f.measure()
			if size > diskMB<<20 && !over {
				record.Printf("OVER the limit: %d bytes in the state folder:%s", size, text)
			}
			over = size > diskMB<<20
			f.largest = max(f.largest, size)
		}
	}()
	return f
}

// measure lists the folder twice. A file counts with its size in the first listing, and only if the second one still
// has it under the same name: so all that is counted was there at one moment.
func (f *folderWatch) measure() (sum int64, text string) {
	first, second := f.list(), f.list()
	for name, file := range first {
		if later, ok := second[name]; !ok || later.inode != file.inode || later.size < file.size {
			continue
		}
		sum += (file.size + 511) / 512 * 512
		if file.size > 0 {
			text += fmt.Sprintf(" %s %d", name, file.size)
		}
	}
	return sum, text
}

func (f *folderWatch) list() map[string]fileState {
	files := map[string]fileState{}
	entries, _ := os.ReadDir(f.dir)
	for _, entry := range entries {
		info, err := os.Lstat(filepath.Join(f.dir, entry.Name()))
		if err != nil || strings.HasPrefix(entry.Name(), "relay.lock.") {
			continue
		}
		files[entry.Name()] = fileState{info.Sys().(*syscall.Stat_t).Ino, info.Size()}
	}
	return files
}

func (f *folderWatch) finish() int64 {
	close(f.stop)
	<-f.done
	return f.largest
}
