package gateway

// startContained counts the request as in flight with those of its fingerprints under which servers were
// lost, and reports false if another request of this VM is. Until a response begins or the cause is found, only one
// such request is in flight at a time, so that others don't crash the servers that are left.
func (forwarder *forwarder) startContained() bool {
	tracker := forwarder.gateway.quarantine
	forwarder.finishContained()
	contained := tracker.Contained(forwarder.allFingerprints...)
	if !tracker.Start(contained) {
		forwarder.recordContainedWait()
		return false
	}
	forwarder.contained = contained
	return true
}

// finishContained ends what startContained began.
func (forwarder *forwarder) finishContained() {
	forwarder.gateway.quarantine.Finish(forwarder.contained)
	forwarder.contained = nil
}

// recordContainedWait logs and counts the request the first time that it waits for another one with a
// contained suspect.
func (forwarder *forwarder) recordContainedWait() {
	if forwarder.waitedForContained {
		return
	}
	forwarder.waitedForContained = true
	forwarder.gateway.metrics.containedWaits.Inc()
	forwarder.gateway.logger.Info("request waits for another one under which servers may crash", "request_id", forwarder.head.ID,
		"fingerprint", forwarder.fingerprints.Request, "parts", forwarder.fingerprints.Parts)
}

// recordBegun records that a response began with the parts of the prompt.
func (forwarder *forwarder) recordBegun() {
	forwarder.finishContained()
	forwarder.gateway.quarantine.RecordBegun(forwarder.fingerprints.Parts)
}
