//go:build !race

package relay

const raceDetector = false
