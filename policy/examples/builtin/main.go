// Command builtin is a plug-in that runs the built-in policy.
package main

import "maddermill/policy"

func init() { policy.Serve(policy.Builtin) }

func main() {}
