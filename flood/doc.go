// Package flood tests the built program with callers and upstreams that do not keep to the limits: an instance runs as a
// separate process, and the tests check that it lives, how much memory and how many descriptors it has, and
// that it answers an ordinary request afterwards.
package flood
