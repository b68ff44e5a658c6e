//go:build race

package relay

// raceDetector reports whether the race detector is on. With it a process needs several times the memory.
const raceDetector = true
