// Package declaration parses and checks the declaration files of the operators,
// compares sets of declarations and computes their digests. The files are applied as
// a whole, as one revision.
package declaration
