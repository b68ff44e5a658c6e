package clock

import (
	"errors"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const childEnv = "TROUTUSHER_CLOCK_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	c := System()
	os.Stdout.WriteString(c.BootID() + " " + strconv.FormatInt(int64(c.Now()), 10))
}

// Two processes on one machine share the same clock.
func TestClockIsSharedByProcesses(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"=1")
	before := System().Now()
	out, err := cmd.Output()
	after := System().Now()
	if err != nil {
		t.Fatal(err)
	}
	boot, text, _ := strings.Cut(string(out), " ")
	at, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("got output %q of the other process, want its boot id and instant", out)
	}
	if boot == "" || boot != System().BootID() {
		t.Errorf("got boot id %q, the other process has %q", System().BootID(), boot)
	}
	slack := Instant(stepTolerance.Microseconds())
	if Instant(at) < before-slack || Instant(at) > after+slack {
		t.Errorf("got instant %d from the other process, want %d to %d", at, before, after)
	}
}

// A process that cannot read the boot id or the system's monotonic clock uses an origin of its own.
func TestClockWithoutABoot(t *testing.T) {
	noFile := func(string) ([]byte, error) { return nil, os.ErrNotExist }
	noCall := func() (time.Duration, error) { return 0, syscall.ENOSYS }
	for name, c := range map[string]*system{
		"no boot id":         newSystem(noFile, readMonotonic),
		"no monotonic clock": newSystem(os.ReadFile, noCall),
	} {
		if c.BootID() != "" || c.Now() <= 0 || !Read(c).Plausible() {
			t.Errorf("%s: got reading %+v, want a plausible one without a boot id", name, Read(c))
		}
	}
	if _, _, err := readPair(noCall); !errors.Is(err, syscall.ENOSYS) {
		t.Error(err)
	}
}

func TestManual(t *testing.T) {
	c := NewManual(Reading{BootID: "b", Now: hour, Wall: today})
	c.Advance(time.Second)
	c.StepWall(-time.Hour)
	want := Reading{BootID: "b", Now: hour.Add(time.Second), Wall: today + 1e6 - UnixMicro(time.Hour.Microseconds())}
	if got := Read(c); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if Since(c, hour) != time.Second || Until(c, hour) != -time.Second {
		t.Error("Since and Until of an instant one second ago are not 1s and -1s")
	}
}
