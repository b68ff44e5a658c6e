//go:build !race

package relay

// raceDetector reports whether the race detector is on.
const raceDetector = false
