//go:build !race

package gossip

// raceDetector states that the race detector is on.
const raceDetector = false
