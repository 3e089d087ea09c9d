// Package matrix tests whole instances between stand-ins under faults. Each test
// injects a fault at one step of a request and compares what the response says with the
// executions that the stand-in upstreams counted.
package matrix
