// Package matrix holds the fault matrix: tests that run whole instances between
// stand-ins, break one thing at one step, and hold what callers are told against
// what the upstreams counted.
package matrix
