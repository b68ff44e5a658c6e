package clock

import (
	"testing"
	"time"
)

const (
	hour  = Instant(time.Hour / time.Microsecond)
	today = UnixMicro(1796201478316395)
)

// Instants of the same boot are not changed, whatever the wall clock did in between.
func TestSameBootIgnoresTheWallClock(t *testing.T) {
	kept := Reading{BootID: "b", Now: hour, Wall: today}
	for _, step := range []time.Duration{0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour} {
		now := Reading{BootID: "b", Now: hour.Add(time.Second), Wall: today + UnixMicro((time.Second + step).Microseconds())}
		c := kept.Convert(hour.Add(time.Second/2), now)
		if !c.SameClock || c.Estimate(hour) != hour || c.Latest(hour) != hour {
			t.Errorf("wall clock stepped by %v: got conversion %+v, want one that changes nothing", step, c)
		}
	}
}

// For another clock the wall clock gives the time that has passed. No deadline ends up further away than
// it was at the last moment seen on the old clock.
func TestAnotherClockIsBoundedByTheLastMoment(t *testing.T) {
	kept := Reading{BootID: "b", Now: hour, Wall: today}
	latest := hour.Add(10 * time.Second)
	deadline := hour.Add(30 * time.Second)
	now := func(boot string, at Instant, passed time.Duration) Reading {
		return Reading{BootID: boot, Now: at, Wall: today + UnixMicro(passed.Microseconds())}
	}
	for name, testCase := range map[string]struct {
		kept Reading
		now  Reading
		want time.Duration // time left until the deadline
	}{
		"another boot":                 {kept, now("c", 5e6, 15*time.Second), 15 * time.Second},
		"another boot, stepped back":   {kept, now("c", 5e6, -time.Hour), 20 * time.Second},
		"another boot, stepped ahead":  {kept, now("c", 5e6, time.Hour), -time.Hour + 30*time.Second},
		"clock stepped back":           {kept, now("b", hour-1e6, 12*time.Second), 18 * time.Second},
		"boot not known now":           {kept, now("", 5e6, 12*time.Second), 18 * time.Second},
		"boot not known then":          {Reading{Now: hour, Wall: today}, now("b", 5e6, 12*time.Second), 18 * time.Second},
		"nothing known":                {Reading{}, now("b", hour.Add(11*time.Second), 0), 19 * time.Second},
		"nothing known, lower instant": {Reading{}, now("b", 5e6, 0), 20 * time.Second},
		"absurd":                       {Reading{BootID: "b", Now: 1 << 60, Wall: 1}, now("b", 5e6, 0), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := testCase.kept.Convert(latest, testCase.now)
			left := c.Estimate(deadline).Sub(testCase.now.Now)
			if c.SameClock {
				t.Error("got a conversion between equal clocks, want one by an estimate")
			}
			if name == "absurd" { // the reading's time is after the deadline, which has expired then
				if left > 0 {
					t.Errorf("got %v left until the deadline, want none", left)
				}
				return
			}
			if c.Estimate(deadline) > 1 && left != testCase.want {
				t.Errorf("got %v left until the deadline, want %v", left, testCase.want)
			}
			if longest := c.Latest(deadline).Sub(testCase.now.Now); longest != 20*time.Second {
				t.Errorf("got at most %v left until the deadline, want 20s", longest)
			}
		})
	}
}

// Times in Unix microseconds, as in logs of earlier releases, are converted by the wall clock.
func TestUnixMoments(t *testing.T) {
	now := Reading{BootID: "b", Now: hour, Wall: today}
	deadline := Instant(today) + 3e6
	if !IsUnix(deadline) || IsUnix(hour) || IsUnix(Instant(100*365*24)*hour/10) {
		t.Error("IsUnix does not distinguish Unix times from instants")
	}
	c := ConvertUnix(0, now)
	if c.SameClock || c.Estimate(deadline).Sub(now.Now) != 3*time.Second {
		t.Errorf("got conversion %+v, want an estimate that leaves 3s until the deadline", c)
	}
	c = ConvertUnix(deadline-1e6, now) // the wall clock was stepped back since
	if left := c.Estimate(deadline).Sub(now.Now); left != time.Second {
		t.Errorf("got %v left until the deadline, want 1s", left)
	}
}

// The zero Instant stays zero, and a moment before the new clock's origin does not become zero.
func TestConversionKeepsNone(t *testing.T) {
	c := Reading{BootID: "b", Now: hour, Wall: today}.Convert(0, Reading{BootID: "c", Now: 1e6, Wall: today})
	if c.Estimate(0) != 0 || c.Estimate(1) != 1 || c.Latest(0) != 0 {
		t.Errorf("got conversion %+v, want one that keeps the instants 0 and 1", c)
	}
}

func TestStepped(t *testing.T) {
	before := Reading{BootID: "b", Now: hour, Wall: today}
	for step, want := range map[time.Duration]bool{0: false, 50 * time.Millisecond: false, time.Second: true, -time.Second: true} {
		later := Reading{BootID: "b", Now: hour + 5e6, Wall: today + 5e6 + UnixMicro(step.Microseconds())}
		if before.Stepped(later) != want {
			t.Errorf("wall clock stepped by %v: got Stepped %v, want the opposite", step, !want)
		}
	}
}
