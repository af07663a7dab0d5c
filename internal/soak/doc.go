// Package soak runs real gateways as separate processes against stand-ins of the
// users' platform, injects faults from outside by a plan that a seed determines,
// and checks what callers and backend servers saw against what is promised.
//
// It starts processes, which no program of a VM does; it is a test tool, and ends
// only what it started.
package soak
