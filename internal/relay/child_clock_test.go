package relay

import (
	"os"
	"strconv"
	"strings"

	"troutusher/internal/clock"
)

const (
	wallClockEnv = "TROUTUSHER_TEST_WALL" // a file with the step of a child's wall clock, in milliseconds
	bootEnv      = "TROUTUSHER_TEST_BOOT" // the boot id that a child sees
)

// steppedClock is the machine's clock with a wall clock that a test steps.
type steppedClock struct {
	clock.Clock
	path string
}

// Wall implements clock.Clock.
func (c steppedClock) Wall() clock.UnixMicro {
	text, _ := os.ReadFile(c.path)
	ms, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return c.Clock.Wall() + clock.UnixMicro(ms*1000)
}

// Boot implements clock.Clock.
func (c steppedClock) BootID() string {
	if boot := os.Getenv(bootEnv); boot != "" {
		return boot
	}
	return c.Clock.BootID()
}

// childClock is the clock that a child relay tells the time by.
func childClock() clock.Clock { return steppedClock{clock.System(), os.Getenv(wallClockEnv)} }
