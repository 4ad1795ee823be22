package entry

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// intentState is the state of a non-idempotent call in its intent record.
type intentState string

// States of an intent record: the call may have been sent, it completed, or
// every endpoint refused it.
const (
	intentDispatched intentState = "dispatched"
	intentDone       intentState = "done"
	intentRefused    intentState = "refused"
)

// intentRecord is the value under intent/{program}/{sequence} in the table
// service. It is written before a non-idempotent call is sent. If the entry
// instance crashes, the response is lost or the caller retries, the next
// attempt finds the record and does not send the call again.
type intentRecord struct {
	State    intentState     `json:"state"`
	Claimant string          `json:"claimant"`
	Endpoint string          `json:"endpoint,omitempty"`
	Result   json.RawMessage `json:"result,omitempty"`
}

// intentKey returns the key of the intent record of call seq.
func intentKey(id program.ID, seq uint64) string { return fmt.Sprintf("intent/%s/%d", id, seq) }

// intentClaim is the result of an attempt to claim an intent: the version of
// the written record, or the record of another attempt.
type intentClaim struct {
	version  uint64
	existing *intentRecord
}

// claimIntent writes an intent record in state dispatched for call seq. The
// result holds the record's version if this attempt may send the call, and
// the existing record if another attempt has claimed the call before. On an
// error the call must not be sent.
//
// A write whose response was lost is resolved by reading the record: its
// claimant, which is unique to this attempt, shows whether the write took
// effect.
func (e *Entry) claimIntent(ctx context.Context, id program.ID, seq uint64, claimant string) (intentClaim, error) {
	key := intentKey(id, seq)
	intent := intentRecord{State: intentDispatched, Claimant: claimant}
	expect := uint64(0)
	for range 2 {
		ver, err := e.platform.Put(ctx, key, intent, expect)
		if err == nil {
			return intentClaim{version: ver}, nil
		}
		if !tableservice.IsFailure(err, tableservice.FailureConflict) && !tableservice.IsFailure(err, tableservice.FailureUnavailable) {
			return intentClaim{}, err
		}
		rec, rerr := e.platform.Get(ctx, key)
		if rerr != nil {
			return intentClaim{}, err
		}
		var found intentRecord
		if jerr := json.Unmarshal(rec.Value, &found); jerr != nil {
			return intentClaim{}, jerr
		}
		switch {
		case found.Claimant == claimant && found.State == intentDispatched:
			return intentClaim{version: rec.Version}, nil
		case found.State == intentRefused:
			// An earlier attempt was refused by every endpoint, so the call
			// has not run. This attempt may claim it at the record's version.
			expect = rec.Version
			continue
		}
		return intentClaim{existing: &found}, nil
	}
	return intentClaim{}, &IntentContentionError{key: key}
}

// IntentContentionError is returned when an intent record was changed
// concurrently on every attempt to claim it. The call was not sent and may be
// retried.
type IntentContentionError struct{ key string }

// Error returns a message that names the record.
func (e *IntentContentionError) Error() string {
	return "intent record " + e.key + " was changed concurrently; the call was not sent"
}

// settleIntent records the final state of a claimed intent. A failure is
// logged only: the record then remains in state dispatched, and a retry is
// answered with outcome_unknown instead of running the call again.
func (e *Entry) settleIntent(ctx context.Context, id program.ID, seq uint64, version uint64, rec intentRecord) {
	if _, err := e.platform.Put(ctx, intentKey(id, seq), rec, version); err != nil {
		e.log.Warn("final state of intent not recorded; a retry will report an unknown outcome", "program", id, "seq", seq, "state", rec.State, "err", err)
	}
}
