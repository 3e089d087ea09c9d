// Package restart tests planned stops of the built program: instances run as separate
// processes and get real signals, and callers and upstreams count what was lost.
package restart
