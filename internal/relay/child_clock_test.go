package relay

import (
	"os"
	"strconv"
	"strings"

	"troutusher/internal/clock"
)

const (
	wallStepFileEnv = "TROUTUSHER_TEST_WALL" // path of a file with the offset of a child's wall clock, in milliseconds
	bootIDEnv       = "TROUTUSHER_TEST_BOOT" // the boot id that a child reads; the machine's if empty
)

// steppedClock is the machine's clock, except that a test can step its wall clock.
type steppedClock struct {
	clock.Clock
	stepFile string
}

// Wall implements clock.Clock.
func (c steppedClock) Wall() clock.UnixMicro {
	text, _ := os.ReadFile(c.stepFile)
	ms, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return c.Clock.Wall() + clock.UnixMicro(ms*1000)
}

// BootID implements clock.Clock.
func (c steppedClock) BootID() string {
	if boot := os.Getenv(bootIDEnv); boot != "" {
		return boot
	}
	return c.Clock.BootID()
}

// childClock returns the clock that a child relay uses.
func childClock() clock.Clock { return steppedClock{clock.System(), os.Getenv(wallStepFileEnv)} }
