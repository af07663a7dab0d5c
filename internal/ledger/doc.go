// Package ledger records requests that may run at most once, by the idempotency
// key that callers give them. It decides which of several requests with one key may
// be dispatched, and keeps the outcome. It is part of the state that is rebuilt by
// applying the records of the platform's log, in the same way on every VM.
package ledger
