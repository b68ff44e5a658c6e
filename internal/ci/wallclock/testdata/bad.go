package bad

import (
	"time"
	sameTime "time"
)

func deadlines(timeout time.Duration) []int64 {
	now := time.Now()
	deadline := now.Add(timeout).UnixMicro()
	stripped := now.Round(0)
	later := time.UnixMicro(deadline)
	return []int64{deadline, stripped.UnixNano(), int64(time.Until(later)), int64(sameTime.Since(now)), later.UTC().Unix()}
}

func asValue() func() time.Time { return time.Now }

func fine(d time.Duration) *time.Timer { return time.NewTimer(d + time.Second) }
