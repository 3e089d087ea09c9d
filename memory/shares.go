package memory

// The parts of an instance's memory. What is left is for the program, connections to upstreams, the state of
// the deployment, and garbage.
const (
	// bodyPart is for bodies of requests and buffered responses: 64 MiB, the largest body known, fit into it
	// with the reserve on an instance with 184 MB.
	bodyPart = 0.4
	// headPart is for heads of requests, and connPart for callers' connections.
	headPart = 0.2
	connPart = 0.125
	// runtimePart is the limit of the Go runtime. The mapped program is not counted in it.
	runtimePart = 0.75
	// connBytes is what an open connection takes: its buffers, its goroutine and its state.
	connBytes = 20 << 10
	// headReserve is the part of the budget for heads, one in so many, that only small heads may use.
	headReserve = 2
)

// Shares divides the memory of an instance.
type Shares struct{ total int64 }

// NewShares returns the shares of a memory of the given number of bytes, 0 for no limit.
func NewShares(total int64) Shares { return Shares{total: max(0, total)} }

// Bodies returns the budget for bodies and buffered responses, nil without a limit.
func (s Shares) Bodies() *Budget {
	if s.total == 0 {
		return nil
	}
	return New(s.part(bodyPart))
}

// Heads returns the budget for heads of requests, nil without a limit.
func (s Shares) Heads() *Budget {
	if s.total == 0 {
		return nil
	}
	size := s.part(headPart)
	return New(size, WithReserve(size/headReserve))
}

// Connections returns how many connections of callers fit, 0 without a limit.
func (s Shares) Connections() int { return int(s.part(connPart) / connBytes) }

// Runtime returns the limit for the Go runtime in bytes, 0 without a limit.
func (s Shares) Runtime() int64 { return s.part(runtimePart) }

func (s Shares) part(fraction float64) int64 { return int64(fraction * float64(s.total)) }
