//go:build race

package gossip

// raceDetector states whether the race detector is on.
const raceDetector = true
