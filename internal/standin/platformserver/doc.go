// Package platformserver simulates the platform's backend servers, model engines
// and plain services, for tests. They implement the published protocol and timing
// formulas, with the documented faults. A record of the requests that ran lets a
// test compare them with the outcomes reported to callers.
package platformserver
