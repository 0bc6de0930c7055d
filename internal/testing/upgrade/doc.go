// Package upgrade contains the test of a rolling upgrade. It runs the version in production, built from the
// repository's history, together with the version under test, as real processes on loopback. The package has
// no code besides its test.
package upgrade
