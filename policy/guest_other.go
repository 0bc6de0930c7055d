//go:build !wasip1

package policy

// Serve does nothing outside of a wasip1 module, where no host calls f. It exists so that a plug-in's
// tests compile and run on any platform.
func Serve(f func(*Pass) []uint32) {}

// Admit does nothing outside of a wasip1 module, like Serve.
func Admit(f func(*Admission) Verdict) {}

// Plan does nothing outside of a wasip1 module, like Serve.
func Plan(f func(*Fleet) []Change) {}

// Prefer does nothing outside of a wasip1 module, like Serve.
func Prefer(f func(*Machines) []uint32) {}
