// Package platformserver stands in for the users' backend servers, model engines
// and plain services, as they speak on their platform: by the published protocol
// and formulas, with the faults that their pages name. It keeps a record of what
// ran, so that a test can compare it with what callers were told.
package platformserver
