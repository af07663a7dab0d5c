// Package backpressure holds the rate limits and backoffs that backend servers request of the VMs
// that send to them. It has no clock, lock or I/O: all times are arguments.
//
// A RateLimit applies to the requests of all VMs together, so the coordinator counts them. A
// backoff applies to a single VM, so Backoffs are kept by VM. Both belong to one start of a server
// and are kept by its ID. Draining, in contrast, applies to all VMs and has no end, so it is a mark
// of the server's list entry.
package backpressure
