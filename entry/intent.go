package entry

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// intentState is where a non-idempotent call stands in its intent record.
type intentState string

const (
	intentDispatched intentState = "dispatched"
	intentDone       intentState = "done"
	intentRefused    intentState = "refused"
)

// intentRecord is the value under intent/{program}/{sequence}. It is
// written before a non-idempotent call is sent, so whatever fails
// afterwards (the entry dies, the answer is lost, the caller retries),
// a second attempt finds the record and never sends the call again.
type intentRecord struct {
	State    intentState     `json:"state"`
	Claimant string          `json:"claimant"`
	Endpoint string          `json:"endpoint,omitempty"`
	Result   json.RawMessage `json:"result,omitempty"`
}

func intentKey(id program.ID, seq uint64) string { return fmt.Sprintf("intent/%s/%d", id, seq) }

// claim is the result of trying to claim an intent.
type claim struct {
	version  uint64
	existing *intentRecord
}

// claimIntent writes a dispatched intent for (id, seq). It returns the
// record's version if this attempt may send the call, or the record found
// if another attempt already claimed it. A platform error means nothing
// may be sent.
//
// A lost answer to the put is resolved by reading the record back: the
// claimant field, unique to this attempt, tells whether our write took.
func (e *Entry) claimIntent(ctx context.Context, id program.ID, seq uint64, claimant string) (claim, error) {
	key := intentKey(id, seq)
	mine := intentRecord{State: intentDispatched, Claimant: claimant}
	expect := uint64(0)
	for range 2 {
		ver, err := e.platform.Put(ctx, key, mine, expect)
		if err == nil {
			return claim{version: ver}, nil
		}
		if !tableservice.Is(err, tableservice.FailureConflict) && !tableservice.Is(err, tableservice.FailureUnavailable) {
			return claim{}, err
		}
		rec, rerr := e.platform.Get(ctx, key)
		if rerr != nil {
			return claim{}, err
		}
		var found intentRecord
		if jerr := json.Unmarshal(rec.Value, &found); jerr != nil {
			return claim{}, jerr
		}
		switch {
		case found.Claimant == claimant && found.State == intentDispatched:
			return claim{version: rec.Version}, nil
		case found.State == intentRefused:
			// An earlier attempt was refused everywhere, so it never ran:
			// this attempt may claim it again, at its version.
			expect = rec.Version
			continue
		}
		return claim{existing: &found}, nil
	}
	return claim{}, &ContendedError{key: key}
}

// ContendedError says an intent record kept changing under us; nothing was
// sent and the caller may try again.
type ContendedError struct{ key string }

// Error names the record.
func (e *ContendedError) Error() string { return "intent " + e.key + " contended" }

// settleIntent records the final state of a claimed intent. It is best
// effort: if it fails, the record stays "dispatched" and a retry answers
// outcome_unknown instead of running the call again.
func (e *Entry) settleIntent(ctx context.Context, id program.ID, seq uint64, version uint64, rec intentRecord) {
	if _, err := e.platform.Put(ctx, intentKey(id, seq), rec, version); err != nil {
		e.log.Warn("intent settle failed", "program", id, "seq", seq, "state", rec.State, "err", err)
	}
}
