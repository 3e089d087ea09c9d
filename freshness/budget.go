// Package freshness decides how long an instance may rely on its copy of the platform's objects
// before it asks for changes. An instance that receives no change cannot conclude that there is none:
// only a response of the platform's store shows that the copy is current, or a peer that has received
// one.
package freshness

import "time"

// Shares of the time within which a change has to be in force everywhere. In the worst case an
// instance relies on its copy for askShare and maxPosition times askStep, then waits for the store
// for callShare: 0.8 in all. The rest is left for applying the change.
const (
	// checkShare is the age of its state at which an instance that watches the store asks it. All
	// but those of the first failure domain wait for another secondShare, and from the third on for
	// one checkStep more each, so that normally one asks and confirms the state to the others.
	checkShare  = 0.20
	secondShare = 0.10
	checkStep   = 0.05
	// askShare is the age at which an instance that does not watch the store asks it for itself.
	// Each further one of its failure domain waits for one askStep more.
	askShare = 0.44
	askStep  = 0.04
	// maxPosition is the position from which all ask at the same age.
	maxPosition = 3
	callShare   = 0.24
	peerShare   = 0.12
	// missingShare is how long a change that a peer has may be missing at an instance that watches
	// the store before its watch counts as stalled, and behindShare at another instance before it
	// watches the store too.
	missingShare = 0.08
	behindShare  = 0.30
)

// Budget divides the time within which a change in the platform's store has to be in force at all
// instances.
type Budget struct{ bound time.Duration }

// NewBudget returns the budget of a bound: the time from the store's acknowledgement of a change
// until all instances have it in force.
func NewBudget(bound time.Duration) Budget { return Budget{bound} }

func (b Budget) share(share float64) time.Duration { return time.Duration(share * float64(b.bound)) }

// Check returns the age of its state at which an instance that watches the store asks it. position is
// that of its failure domain, from 0.
func (b Budget) Check(position int) time.Duration {
	if position == 0 {
		return b.share(checkShare)
	}
	return b.share(checkShare + secondShare + checkStep*float64(min(position, maxPosition)-1))
}

// Ask returns the age of its state at which an instance that does not watch the store asks it.
// position is that of the instance in its failure domain, from 0.
func (b Budget) Ask(position int) time.Duration {
	return b.share(askShare + askStep*float64(min(position, maxPosition)))
}

// Call returns how long a call to the store may take.
func (b Budget) Call() time.Duration { return b.share(callShare) }

// Peer returns how long a peer may take to begin its answer.
func (b Budget) Peer() time.Duration { return b.share(peerShare) }

// Missing returns how long a change that a peer has may be missing at an instance that watches the
// store before the watch counts as stalled.
func (b Budget) Missing() time.Duration { return b.share(missingShare) }

// Behind returns how long such a change may be missing at another instance before that one watches
// the store too.
func (b Budget) Behind() time.Duration { return b.share(behindShare) }
