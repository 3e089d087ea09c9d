// Package restart tests the built program: instances run as separate processes. Planned stops are played with
// real signals, and callers and upstreams count what was lost; and upstreams send responses that are broken.
package restart
