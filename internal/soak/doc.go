// Package soak runs real gateways as separate processes against simulated services of
// the users' platform, injects faults from outside by a plan that a seed determines,
// and checks what callers and backend servers observed against the gateway's invariants.
//
// It is a test tool. Unlike the programs of a VM it starts processes, and it ends only
// those that it started.
package soak
