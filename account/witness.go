package account

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/budget"
)

const (
	// recordTimeout bounds the wait for a witness to record a grant. After it the turn
	// is granted by a row.
	recordTimeout = 100 * time.Millisecond
	// announceTimeout bounds a call that tells a witness that its holder runs.
	announceTimeout = 500 * time.Millisecond
	// recordPause is how long no grant is sent to a witness after one that it did not
	// answer, so that turns do not wait for an unresponsive witness.
	recordPause = 300 * time.Millisecond
	// witnessPatience is how long a witness may be unresponsive before its shards get
	// another one, which takes a row for each of their programs.
	witnessPatience = 2 * time.Second
	// maxDroppedGrants bounds the grants of one call that drops their records.
	maxDroppedGrants = 500
	// maxWitnessed bounds the programs whose grants this instance records for others.
	maxWitnessed = 1 << 16
)

// Witnesses reaches the instances that record what the escrows of others grant.
type Witnesses interface {
	// Witness returns the incarnation that is to be the witness of this instance's
	// escrows, or "" if there is no other instance. It is none for which avoid returns
	// true.
	Witness(avoid func(owner string) bool) string
	// IsCurrent reports whether the named incarnation is the present one of its
	// instance, as far as known.
	IsCurrent(owner string) bool
	// RecordGrant calls Manager.RecordGrant at the named incarnation.
	RecordGrant(ctx context.Context, witness string, grant WitnessedGrant) error
	// Announce calls Manager.Announce at the named incarnation.
	Announce(ctx context.Context, witness, holder string, shards []WitnessedShard) error
	// DropGrants calls Manager.DropGrants at the named incarnation.
	DropGrants(ctx context.Context, witness string, grants []WitnessedGrant) error
	// TakeOver calls Manager.TakeOver at the named incarnation.
	TakeOver(ctx context.Context, witness, account string, shards []int) error
}

// WitnessedGrant is a grant of an escrow to a program without a row.
type WitnessedGrant struct {
	Shard int
	// Version is the version of the shard's row that holds the escrow.
	Version uint64
	Program string
	// Tokens is the sum of all tokens granted to the program.
	Tokens int64
}

// WitnessedShard is a shard whose escrow a witness is named for.
type WitnessedShard struct {
	Shard   int
	Version uint64
	Account string
}

// WitnessRefusal is the reason for which a witness refused a request.
type WitnessRefusal int

//go:generate stringer -type=WitnessRefusal

// Reasons of refusals.
const (
	// WitnessOtherIncarnation means that another incarnation than the named one answers.
	WitnessOtherIncarnation WitnessRefusal = iota
	// WitnessEscrowEnded means that the escrow may grant no more.
	WitnessEscrowEnded
	// WitnessStopped means that the witness stops, and has not ended the escrow and never
	// will. Its holder may grant without records.
	WitnessStopped
	// WitnessFull means that no more programs can be recorded.
	WitnessFull
)

// WitnessRefusedError is returned for a request that a witness refused.
type WitnessRefusedError struct{ reason WitnessRefusal }

// NewWitnessRefusedError returns the refusal that another instance reported.
func NewWitnessRefusedError(reason WitnessRefusal) *WitnessRefusedError {
	return &WitnessRefusedError{reason: reason}
}

// Reason returns the reason.
func (e *WitnessRefusedError) Reason() WitnessRefusal { return e.reason }

// Error gives the reason.
func (e *WitnessRefusedError) Error() string { return "witness refused: " + e.reason.String() }

// UseWitnesses makes the escrows of this instance have witnesses. It must be called
// before the first shard is acquired.
func (manager *Manager) UseWitnesses(witnesses Witnesses) { manager.witnesses = witnesses }

// nextWitness returns the incarnation that is to be the witness of escrows acquired now.
func (manager *Manager) nextWitness() string {
	if manager.witnesses == nil {
		return ""
	}
	now := manager.clock.Now()
	return manager.witnesses.Witness(func(owner string) bool { return manager.health.isSuspect(owner, now) })
}

// dropGrants has witnesses drop the records of programs that have rows now. If that fails,
// the records stay until the escrows end.
func (manager *Manager) dropGrants(ctx context.Context, programs []*program) {
	grants := map[string][]WitnessedGrant{}
	for _, p := range programs {
		shard := budget.Shard(p.id)
		escrow, version := manager.escrows.get(shard)
		if escrow.Witness != "" && escrow.Account == p.account() && p.isRecorded() {
			grants[escrow.Witness] = append(grants[escrow.Witness], WitnessedGrant{Shard: shard, Version: version, Program: p.id})
		}
	}
	var calls sync.WaitGroup
	for witness, grants := range grants {
		calls.Go(func() {
			for batch := range slices.Chunk(grants, maxDroppedGrants) {
				ctx, cancel := context.WithTimeout(ctx, recordTimeout)
				err := manager.witnesses.DropGrants(ctx, witness, batch)
				cancel()
				if err != nil {
					manager.log.Info("records of grants not dropped by their witness", "witness", witness, "programs", len(batch), "err", err)
				}
			}
		})
	}
	calls.Wait()
}

// needsWitness reports whether a local escrow should get another witness.
func (manager *Manager) needsWitness(escrow budget.Escrow) bool {
	switch {
	case manager.witnesses == nil:
		return false
	case escrow.Witness == "":
		return manager.nextWitness() != ""
	}
	return manager.health.hasStopped(escrow.Witness) || !manager.witnesses.IsCurrent(escrow.Witness) || manager.health.failedSince(escrow.Witness, manager.clock.Now()) >= witnessPatience
}

// recordWitnessError records why a witness did not confirm a request, and returns the
// reason if it refused, else WitnessOtherIncarnation.
func (manager *Manager) recordWitnessError(witness string, err error) WitnessRefusal {
	var refused *WitnessRefusedError
	if !errors.As(err, &refused) {
		manager.health.failed(witness, manager.clock.Now())
		return WitnessOtherIncarnation
	}
	if refused.reason == WitnessStopped || refused.reason == WitnessOtherIncarnation {
		manager.health.stopped(witness)
	}
	return refused.reason
}

// announce tells the witnesses of this incarnation's escrows that it runs, and which shards
// they are named for.
func (manager *Manager) announce(ctx context.Context) {
	if manager.witnesses == nil {
		return
	}
	for witness, shards := range manager.escrows.unannounced() {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := manager.witnesses.Announce(callCtx, witness, manager.owner, shards)
		cancel()
		if err == nil {
			manager.health.responded(witness)
			manager.escrows.setAnnounced(shards)
			continue
		}
		reason := manager.recordWitnessError(witness, err)
		if reason == WitnessStopped {
			reason = manager.checkStoppedWitness(ctx, witness)
		}
		if reason == WitnessEscrowEnded {
			manager.escrows.refuseWitness(witness)
		}
		manager.log.Info("witness of escrows did not confirm that it is one", "witness", witness, "err", err)
	}
}

// checkStoppedWitness asks a witness that stops about all escrows that it is named for, and
// records that they no longer have one if it has ended none of them. It returns what
// recordWitnessError returns for the response.
func (manager *Manager) checkStoppedWitness(ctx context.Context, witness string) WitnessRefusal {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	shards := manager.escrows.witnessedBy(witness)
	reason := manager.recordWitnessError(witness, manager.witnesses.Announce(ctx, witness, manager.owner, shards))
	if reason == WitnessStopped {
		manager.escrows.setUnwitnessed(shards)
	}
	return reason
}

// recordAtWitness has the witness record what the escrow of p's shard is to grant, if the
// turn needs that. If the witness does not confirm it, the turn is granted by a row.
func (manager *Manager) recordAtWitness(ctx context.Context, p *program, turn budget.Turn) {
	tokens, needed := p.toWitness(turn)
	if !needed {
		return
	}
	shard := budget.Shard(p.id)
	escrow, version := manager.escrows.get(shard)
	if escrow.Account != p.account() {
		return
	}
	if manager.escrows.isUnwitnessed(shard, version) {
		p.witnessed(tokens)
		return
	}
	if manager.health.isPaused(escrow.Witness, manager.clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := manager.witnesses.RecordGrant(ctx, escrow.Witness, WitnessedGrant{Shard: shard, Version: version, Program: p.id, Tokens: tokens})
	if err == nil {
		manager.health.responded(escrow.Witness)
		manager.recorded.Inc(1)
		p.witnessed(tokens)
		return
	}
	manager.recordFailures.Inc(1)
	switch manager.recordWitnessError(escrow.Witness, err) {
	case WitnessEscrowEnded:
		manager.escrows.refuse(shard, version)
	case WitnessStopped:
		manager.escrows.setUnwitnessed([]WitnessedShard{{Shard: shard, Version: version}})
		p.witnessed(tokens)
		return
	}
	manager.log.Info("grant of an escrow not recorded by its witness: the turn is granted by a row", "program", p.id, "shard", shard, "witness", escrow.Witness, "err", err)
}

// toWitness returns the tokens that the witness has to record for the turn, and whether
// it has to.
func (p *program) toWitness(turn budget.Turn) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.ToWitness(turn)
}

// witnessed records what the witness has recorded.
func (p *program) witnessed(tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.Witnessed(tokens)
}

// isRecorded reports whether a witness has recorded a grant of the program.
func (p *program) isRecorded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.IsRecorded()
}

// account returns the name of the program's local account.
func (p *program) account() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.Owner()
}

// witnessHealth holds which witnesses did not answer lately. Its zero value is ready for
// use.
type witnessHealth struct {
	mu       sync.Mutex
	failures map[string]witnessFailure
	// gone holds the incarnations that stop or have been replaced.
	gone map[string]bool
}

// stopped records that a witness stops or has been replaced.
func (health *witnessHealth) stopped(witness string) {
	health.mu.Lock()
	defer health.mu.Unlock()
	if health.gone == nil {
		health.gone = map[string]bool{}
	}
	health.gone[witness] = true
}

// hasStopped reports whether stopped was called for a witness.
func (health *witnessHealth) hasStopped(witness string) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	return health.gone[witness]
}

// witnessFailure holds when a witness first and last failed to answer without an answer
// in between.
type witnessFailure struct{ first, last time.Time }

// failed records that a witness did not answer.
func (health *witnessHealth) failed(witness string, now time.Time) {
	health.mu.Lock()
	defer health.mu.Unlock()
	if health.failures == nil {
		health.failures = map[string]witnessFailure{}
	}
	failure, ok := health.failures[witness]
	if !ok {
		failure.first = now
	}
	failure.last = now
	health.failures[witness] = failure
}

// responded records that a witness answered.
func (health *witnessHealth) responded(witness string) {
	health.mu.Lock()
	defer health.mu.Unlock()
	delete(health.failures, witness)
}

// isPaused reports whether a witness failed to answer within recordPause.
func (health *witnessHealth) isPaused(witness string, now time.Time) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	failure, ok := health.failures[witness]
	return ok && now.Sub(failure.last) < recordPause
}

// failedSince returns the time between the first and the last of the failures since the
// witness last answered. Failures of long ago are forgotten.
func (health *witnessHealth) failedSince(witness string, now time.Time) time.Duration {
	health.mu.Lock()
	defer health.mu.Unlock()
	failure, ok := health.failures[witness]
	if !ok || now.Sub(failure.last) >= maxRetryDelay {
		delete(health.failures, witness)
		return 0
	}
	return failure.last.Sub(failure.first)
}

// isSuspect reports whether a witness has failed to answer and not answered since.
func (health *witnessHealth) isSuspect(witness string, now time.Time) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	failure, ok := health.failures[witness]
	return health.gone[witness] || ok && now.Sub(failure.last) < maxRetryDelay
}
