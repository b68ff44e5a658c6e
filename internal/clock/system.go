package clock

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	bootIDPath     = "/proc/sys/kernel/random/boot_id"
	clockMonotonic = 1 // CLOCK_MONOTONIC, which package time uses too
	// fallbackOrigin is the first instant of a process that cannot read the boot id or the monotonic clock.
	fallbackOrigin  = Instant(time.Hour / time.Microsecond)
	maxPairReads    = 5
	targetPairWidth = 100 * time.Microsecond // readings this close together are accepted without another attempt
)

// system is the machine's clock. Package time does not expose the value of the monotonic clock, only
// durations on it. The value is read once, through package syscall; later instants add the duration
// since then.
type system struct {
	bootID string
	base   time.Time // has the monotonic reading that corresponds to origin
	origin Instant
}

// System returns the machine's clock.
var System = sync.OnceValue(func() Clock { return newSystem(os.ReadFile, readMonotonic) })

// newSystem returns the machine's clock. If the boot id or the monotonic clock cannot be read, its
// instants begin at fallbackOrigin and no other process shares them.
func newSystem(readFile func(string) ([]byte, error), monotonic func() (time.Duration, error)) *system {
	s := &system{base: time.Now(), origin: fallbackOrigin}
	bootIDText, err := readFile(bootIDPath)
	if err != nil {
		return s
	}
	if base, monotonicTime, err := readPair(monotonic); err == nil {
		s.bootID, s.base, s.origin = strings.TrimSpace(string(bootIDText)), base, Instant(monotonicTime.Microseconds())
	}
	return s
}

// readPair reads the time of package time and the value of the system's monotonic clock at the same
// moment, as closely as it can.
func readPair(monotonic func() (time.Duration, error)) (base time.Time, monotonicTime time.Duration, err error) {
	narrowest := time.Duration(-1)
	for range maxPairReads {
		before := time.Now()
		value, err := monotonic()
		if err != nil {
			return base, 0, err
		}
		width := time.Since(before)
		if narrowest < 0 || width < narrowest {
			base, monotonicTime, narrowest = before.Add(width/2), value, width
		}
		if narrowest <= targetPairWidth {
			break
		}
	}
	return base, monotonicTime, nil
}

// readMonotonic reads the system's monotonic clock.
func readMonotonic() (time.Duration, error) {
	var timespec syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockMonotonic,
		uintptr(unsafe.Pointer(&timespec)), 0); errno != 0 {
		return 0, errno
	}
	return time.Duration(timespec.Nano()), nil
}

func (s *system) Now() Instant    { return s.origin.Add(time.Since(s.base)) }
func (s *system) BootID() string  { return s.bootID }
func (s *system) Wall() UnixMicro { return UnixMicro(time.Now().UnixMicro()) }
