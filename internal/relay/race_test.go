//go:build race

package relay

const raceDetector = true // which takes several times the memory
