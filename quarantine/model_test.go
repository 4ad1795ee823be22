package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

// modelStep is the time between two steps of a model.
const modelStep = 50 * time.Millisecond

// modelExchange is the exchange of a model's request with one endpoint.
type modelExchange struct {
	send     *quarantine.Send
	instance *member
	// endedAt is when the exchange ended; zero before.
	endedAt time.Time
	// endsAt is when the endpoint ends; zero if it lives.
	endsAt time.Time
	// silentUntil is when the endpoint responds to others again.
	silentUntil time.Time
}

// model is a fleet whose only caller sends one request again and again. Endpoints end or
// live, respond or are silent, and leave the list late; their state is known to the model.
type model struct {
	*fleet
	rng       *rand.Rand
	exchanges []*modelExchange
	// sentAfter is the largest number of endpoints that had recently ended under the request
	// when it was sent.
	sentAfter int
	// delayed holds reports that arrive again later.
	delayed []quarantine.Report
}

// now returns the model's time.
func (m *model) now() time.Time { return m.clock.Now() }

// send sends the request at an instance if it is let through, after checks of the suspects.
func (m *model) send(ends bool) bool {
	ctx := context.Background()
	instance := m.guards[m.rng.IntN(len(m.guards))]
	for range 2 {
		if instance.Check(ctx, keyOf(1), false) == nil {
			break
		}
		m.check(instance)
	}
	if instance.Check(ctx, keyOf(1), false) != nil {
		return false
	}
	m.sentAfter = max(m.sentAfter, m.recentlyEnded())
	exchange := &modelExchange{instance: instance, send: instance.Begin(ctx, keyOf(1), false, fmt.Sprint("e", len(m.exchanges)))}
	if ends {
		exchange.endsAt = m.now().Add(time.Duration(m.rng.IntN(30)) * modelStep)
		m.lapse(exchange.send.Incarnation, exchange.endsAt.Sub(m.now())+time.Duration(m.rng.IntN(60))*modelStep)
	}
	if m.rng.IntN(3) == 0 {
		exchange.silentUntil = m.now().Add(time.Duration(m.rng.IntN(200)) * modelStep)
	}
	m.exchanges = append(m.exchanges, exchange)
	return true
}

// responds reports whether the endpoint responds now.
func (exchange *modelExchange) responds(now time.Time) bool {
	return (exchange.endsAt.IsZero() || now.Before(exchange.endsAt)) && !now.Before(exchange.silentUntil)
}

// hasEnded reports whether the endpoint has ended.
func (exchange *modelExchange) hasEnded(now time.Time) bool {
	return !exchange.endsAt.IsZero() && !now.Before(exchange.endsAt)
}

// end ends the exchange: its endpoint has ended, or the caller leaves it.
func (m *model) end(exchange *modelExchange) {
	exchange.endedAt = m.now()
	send := exchange.send
	if exchange.hasEnded(m.now()) && m.rng.IntN(2) == 0 {
		exchange.instance.Crashed(context.Background(), send, "Refused")
	} else {
		exchange.instance.Unresolved(context.Background(), send, exchange.endedAt, true)
	}
}

// check has an instance check all suspects.
func (m *model) check(instance *member) {
	for _, suspect := range instance.Suspects(keyOf(1), false) {
		if m.now().Sub(suspect.FailedAt) < quarantine.SettleTime {
			continue
		}
		m.probe(instance, suspect.Send, suspect.FailedAt)
	}
}

// probe has an instance check the endpoint of a sending.
func (m *model) probe(instance *member, send *quarantine.Send, failedAt time.Time) {
	for _, exchange := range m.exchanges {
		switch {
		case exchange.send.Incarnation != send.Incarnation:
		case exchange.hasEnded(m.now()):
			instance.Crashed(context.Background(), send, "Ended")
		case exchange.responds(m.now()):
			instance.Survived(context.Background(), send, quarantine.EvidenceHealthCheck, m.now())
		default:
			instance.Unresolved(context.Background(), send, failedAt, true)
		}
	}
}

// step lets something happen besides the caller.
func (m *model) step() {
	instance := m.guards[m.rng.IntN(len(m.guards))]
	switch m.rng.IntN(5) {
	case 0:
		m.check(instance)
	case 1:
		instance.Tick(context.Background())
	case 2: // another request at an endpoint that lives, sent a moment ago
		for _, exchange := range m.exchanges {
			if exchange.responds(m.now()) {
				instance.Responded(exchange.send.Incarnation, m.now().Add(-time.Duration(m.rng.IntN(10))*modelStep))
			}
		}
	case 3: // reports are repeated, late and in any order
		m.rng.Shuffle(len(m.delayed), func(i, j int) { m.delayed[i], m.delayed[j] = m.delayed[j], m.delayed[i] })
		instance.Receive(m.delayed)
		m.delayed = nil
	case 4:
		m.delayed = append(m.delayed, instance.Reports(3)...)
	}
	m.clock.Advance(modelStep)
}

// recentlyEnded returns the number of endpoints whose end must be known by now: it is
// SettleTime ago, and the exchange was in progress or ended a few seconds before.
func (m *model) recentlyEnded() int {
	n := 0
	for _, exchange := range m.exchanges {
		isRecent := exchange.endedAt.IsZero() || m.now().Sub(exchange.endedAt) < 5*time.Second
		if isRecent && exchange.hasEnded(m.now().Add(-quarantine.SettleTime)) {
			n++
		}
	}
	return n
}

// exposed returns the number of endpoints that have ended under the request or will.
func (m *model) exposed() int {
	n := 0
	for _, exchange := range m.exchanges {
		if !exchange.endsAt.IsZero() {
			n++
		}
	}
	return n
}

// Guards against an interleaving of sendings, ends, checks, responses and late reports in which
// a request under which three endpoints have ended is sent to another one, or in which one whose
// endpoints live is refused for good.
func TestModelOfOneRequest(t *testing.T) {
	for seed := range uint64(400) {
		clk := newFleet(3)
		m := &model{fleet: clk, rng: rand.New(rand.NewPCG(seed, 2))}
		for _, guard := range m.guards {
			guard.Tick(context.Background())
		}
		ends := seed%2 == 0
		for range 25 {
			m.send(ends)
			for range 1 + m.rng.IntN(8) {
				m.step()
				for _, exchange := range m.exchanges {
					if exchange.endedAt.IsZero() && (exchange.hasEnded(m.now()) || m.rng.IntN(12) == 0) {
						m.end(exchange)
					}
				}
			}
			for _, exchange := range m.exchanges { // the caller leaves before it sends again
				if exchange.endedAt.IsZero() {
					m.end(exchange)
				}
			}
		}
		if ends {
			require.Less(t, m.sentAfter, quarantine.MaxCrashes, "seed %d", seed)
			require.LessOrEqual(t, m.exposed(), quarantine.MaxCrashes+m.overlapping(), "seed %d", seed)
			continue
		}
		for range 2 * 10 { // all endpoints respond again
			m.clock.Advance(quarantine.TickInterval)
			for _, guard := range m.guards {
				guard.Tick(context.Background())
			}
		}
		require.True(t, m.send(false), "seed %d", seed)
	}
}

// overlapping returns the number of endpoints that lived and responded SettleTime after their
// exchange, so that they were cleared, and ended later.
func (m *model) overlapping() int {
	n := 0
	for _, exchange := range m.exchanges {
		if !exchange.endsAt.IsZero() && exchange.endsAt.Sub(exchange.endedAt) > quarantine.SettleTime {
			n++
		}
	}
	return n
}
