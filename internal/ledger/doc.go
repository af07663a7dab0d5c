// Package ledger is the aggregate of requests that may run at most once. It
// decides which of several submissions of a key may be dispatched, and keeps
// how it ended.
package ledger
