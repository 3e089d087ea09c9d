// Package trial implements the standin command: the stand-in servers, a load generator,
// the try command, which runs a small deployment of separate processes through a
// planned stop and faults, and the measurements of the capacity page.
package trial
