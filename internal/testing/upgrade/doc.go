// Package upgrade holds the test of a rolling upgrade: the version in production, built from the repository's
// history, beside the one under test, as real processes on loopback. It has no code of its own.
package upgrade
