package discovery_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// noPeers implements quarantine.Peers for an instance that reaches no other one.
type noPeers struct{}

func (noPeers) PublishReports(context.Context, []quarantine.Report) (received, instances int) {
	return 0, 0
}

func (noPeers) FetchReports(context.Context) []quarantine.Report { return nil }

func (noPeers) KnownFor() time.Duration { return time.Hour }

// crashInstance is an instance reduced to its table of crashes.
type crashInstance struct {
	*quarantine.Guard
	stop func()
}

// startCrashes starts an instance on the store.
func startCrashes(t *testing.T, memory *storetest.Memory, name string) *crashInstance {
	t.Helper()
	clk, log := clock.Real{}, slog.New(slog.DiscardHandler)
	guard := quarantine.NewGuard(quarantine.NewRecords(clk), noPeers{}, membership.NewList().Presence, clk, log, tally.NoopScope)
	crashes := discovery.NewCrashes(guard, memory, name, clk, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go discovery.NewFollower(memory, crashes.Source(), clk, log, tally.NoopScope).Run(ctx, done)
	go crashes.Run(ctx, done)
	instance := &crashInstance{Guard: guard, stop: func() {
		cancel()
		for range 2 {
			assert.NoError(t, <-done)
		}
	}}
	return instance
}

// crash has an endpoint crash under the request.
func (instance *crashInstance) crash(key quarantine.Key, incarnation string) {
	ctx := context.Background()
	instance.Crashed(ctx, instance.Begin(ctx, key, false, incarnation), "Refused")
}

// knows waits until the instance knows of so many crashes under the request.
func (instance *crashInstance) knows(t *testing.T, key quarantine.Key, crashes int) {
	t.Helper()
	require.Eventually(t, func() bool { return instance.Assess(key, false).Crashed == crashes }, 3*time.Second, time.Millisecond)
}

// Guards against crashes that are forgotten when all instances lose power, or that do not reach an instance which no other one reaches.
func TestCrashesOutliveInstances(t *testing.T) {
	memory := storetest.New()
	key := quarantine.Key{1}
	first, second := startCrashes(t, memory, "i1"), startCrashes(t, memory, "i2")
	first.crash(key, "e1")
	second.knows(t, key, 1)
	second.crash(key, "e2")
	first.knows(t, key, 2)
	first.stop()
	second.stop()
	for _, name := range []string{"i1", "i3"} { // a restarted instance, and a new one
		restarted := startCrashes(t, memory, name)
		restarted.knows(t, key, 2)
		restarted.stop()
	}
}

// Guards against a restarted instance that replaces what its earlier incarnation has written.
func TestRestartedInstanceKeepsEarlierCrashes(t *testing.T) {
	memory := storetest.New()
	first := startCrashes(t, memory, "i1")
	first.crash(quarantine.Key{1}, "e1")
	require.Eventually(t, func() bool { return memory.Commits() > 0 }, time.Second, time.Millisecond)
	first.stop()
	second := startCrashes(t, memory, "i1")
	second.knows(t, quarantine.Key{1}, 1)
	second.crash(quarantine.Key{2}, "e2")
	third := startCrashes(t, memory, "i3")
	third.knows(t, quarantine.Key{2}, 1)
	third.knows(t, quarantine.Key{1}, 1)
	second.stop()
	third.stop()
}

// Guards against crashes that are never written because the store was unavailable, or lost a response, when they happened.
func TestCrashesAreWrittenAfterOutage(t *testing.T) {
	for name, fault := range map[string]storetest.Fault{"unavailable": storetest.Refuse, "response lost": storetest.LoseResponse} {
		t.Run(name, func(t *testing.T) {
			memory := storetest.New()
			first, second := startCrashes(t, memory, "i1"), startCrashes(t, memory, "i2")
			memory.SetFault(func(op, _ string) storetest.Fault {
				if op == "commit" {
					return fault
				}
				return storetest.None
			})
			first.crash(quarantine.Key{1}, "e1")
			time.Sleep(200 * time.Millisecond)
			first.crash(quarantine.Key{2}, "e2")
			memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
			second.knows(t, quarantine.Key{1}, 1)
			second.knows(t, quarantine.Key{2}, 1)
			first.stop()
			second.stop()
		})
	}
}

// Guards against rows of other writers that keep an instance from reading the others.
func TestMalformedCrashRowsAreIgnored(t *testing.T) {
	memory := storetest.New()
	require.NoError(t, memory.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "crashes", Name: "bad"}, Value: []byte("{")}}}))
	instance, other := startCrashes(t, memory, "i1"), startCrashes(t, memory, "i2")
	other.crash(quarantine.Key{1}, "e1")
	instance.knows(t, quarantine.Key{1}, 1)
	instance.stop()
	other.stop()
}
