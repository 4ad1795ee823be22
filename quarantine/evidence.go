package quarantine

import (
	"time"
)

// Evidence is what an endpoint was cleared by: why it is known that it did not end under a
// request.
type Evidence int

//go:generate stringer -type=Evidence -trimprefix=Evidence

// Kinds of evidence.
const (
	// EvidenceResponse is a response of the endpoint to another request.
	EvidenceResponse Evidence = iota
	// EvidenceHealthCheck is a response of the endpoint to a health check.
	EvidenceHealthCheck
	// EvidenceNotDelivered means that the endpoint did not receive the request.
	EvidenceNotDelivered
	// EvidenceEarlierCrash means that the endpoint had ended before the request was sent.
	EvidenceEarlierCrash
)

// clearance is the decision that an endpoint did not end under a request.
type clearance struct {
	attempt  *attempt
	key      Key
	evidence Evidence
	// begunAt is when what the evidence consists of began.
	begunAt time.Time
}

// logClearance writes one line about an endpoint that was cleared.
func (guard *Guard) logClearance(c clearance) {
	guard.log.Info("endpoint cleared under a request", "identity", c.key, "incarnation", c.attempt.incarnation, "evidence", c.evidence.String(),
		"from", c.attempt.state.String(), "source", c.attempt.source.String(), "since_sent", c.begunAt.Sub(c.attempt.sentAt), "since_failed", c.begunAt.Sub(c.attempt.at))
}
