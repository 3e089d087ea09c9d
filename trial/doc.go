// Package trial drives hickorydrum: the load tool, and the try command, which
// runs a whole small deployment of separate processes between stand-ins.
package trial
