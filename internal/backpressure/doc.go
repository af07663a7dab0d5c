// Package backpressure keeps what backend servers ask of those that send to them. It has no clock, lock or I/O: times
// come in, and values go out.
//
// What a server asks has a scope, and is kept for that: a Limit is of all VMs together, so the VM that decides counts it;
// a rest is of the one VM that was asked, so Rests are kept by VM. Both are of one start of a server, whose ID they are
// kept by. That a server leaves is of all VMs and has no end, and is a mark of its entry.
package backpressure
