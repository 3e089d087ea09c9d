// Package declaration reads the operators' files: it parses, checks, compares
// and digests them. A set of files is applied as a whole, as one revision.
package declaration
