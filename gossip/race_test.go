//go:build race

package gossip

// racing states that the race detector is on.
const racing = true
