package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

const (
	// longestFault and longestPause bound a fault and the time to the next;
	// several overlap.
	longestFault = 4 * time.Second
	longestPause = 1200 * time.Millisecond
	// drainTime is how long a leaving endpoint serves on.
	drainTime = 2500 * time.Millisecond
	// slowStore is added to each answer of a slow store.
	slowStore = 240 * time.Millisecond
)

// faults injects faults of a seed into a site, one after another and
// overlapping.
type faults struct {
	site    *site
	rng     *rand.Rand
	planned bool
	log     func(format string, args ...any)
	running sync.WaitGroup
	kinds   []fault
}

// fault injects one kind of fault at front, for d.
type fault struct {
	name    string
	planned bool
	inject  func(s *site, f *front, draw uint64, d time.Duration)
}

var allFaults = []fault{
	{name: "kill", inject: func(s *site, f *front, _ uint64, d time.Duration) { s.restart(f, syscall.SIGKILL, d/3) }},
	{name: "freeze", inject: func(s *site, f *front, _ uint64, d time.Duration) { s.freeze(f, d) }},
	{name: "stop", planned: true, inject: func(s *site, f *front, _ uint64, d time.Duration) { s.restart(f, syscall.SIGTERM, d/8) }},
	{name: "hangup", planned: true, inject: func(s *site, f *front, _ uint64, _ time.Duration) { s.hangup(f) }},
	{name: "kill all", inject: func(s *site, _ *front, _ uint64, d time.Duration) {
		var ends sync.WaitGroup
		for _, f := range s.fronts {
			ends.Go(func() { s.restart(f, syscall.SIGKILL, d/6) })
		}
		ends.Wait()
	}},
	{name: "store turns one away", inject: func(s *site, f *front, draw uint64, d time.Duration) {
		f.door.SetMode(modes[draw%uint64(len(modes))])
		time.Sleep(d)
		f.door.SetMode(platformtest.Serving)
	}},
	{name: "store away", inject: func(s *site, _ *front, draw uint64, d time.Duration) {
		for _, f := range s.fronts {
			f.door.SetMode(modes[draw%uint64(len(modes))])
		}
		time.Sleep(d)
		for _, f := range s.fronts {
			f.door.SetMode(platformtest.Serving)
		}
	}},
	{name: "store slow", inject: func(s *site, _ *front, _ uint64, d time.Duration) {
		for _, f := range s.fronts {
			f.door.Delay(slowStore)
		}
		time.Sleep(d)
		for _, f := range s.fronts {
			f.door.Delay(0)
		}
	}},
	{name: "store loses answers", inject: func(s *site, _ *front, draw uint64, d time.Duration) {
		s.memory.SetFault(storetest.RandomFaults(rand.New(rand.NewPCG(draw, 3)), 0.3, storetest.LoseResponse, storetest.LoseRequest))
		time.Sleep(d)
		s.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
		s.memory.ApplyLost()
	}},
	{name: "store forgets its history", inject: func(s *site, _ *front, _ uint64, _ time.Duration) { s.memory.Compact() }},
	{name: "way to the store", inject: func(_ *site, f *front, draw uint64, d time.Duration) { f.proxy.disturb(draw, d) }},
	{name: "way to an endpoint", inject: func(s *site, _ *front, draw uint64, d time.Duration) {
		all := s.all()
		all[draw%uint64(len(all))].proxy.disturb(draw>>8, d)
	}},
	{name: "endpoints fail", inject: func(s *site, _ *front, _ uint64, d time.Duration) {
		s.fail(0.15)
		time.Sleep(d)
		s.fail(0)
	}},
	{name: "endpoint replaced", planned: true, inject: func(s *site, _ *front, draw uint64, _ time.Duration) { s.replace(draw, false) }},
	{name: "address used again", inject: func(s *site, _ *front, draw uint64, _ time.Duration) { s.replace(draw, true) }},
	{name: "configuration", planned: true, inject: func(s *site, _ *front, _ uint64, _ time.Duration) { s.configure() }},
}

// modes are the ways in which a store turns instances away.
var modes = []platformtest.StoreMode{platformtest.ServiceUnavailable, platformtest.TooManyRequests, platformtest.ResetConnections, platformtest.IgnoreRequests}

// disturb disturbs the connections through a proxy in one of its ways.
func (proxy *proxy) disturb(draw uint64, d time.Duration) {
	switch draw % 5 {
	case 0:
		proxy.silence()
		return
	case 1:
		proxy.cut(wayTo)
	case 2:
		proxy.cut(wayBack)
	case 3:
		proxy.resetAll(true)
	case 4:
		proxy.slow(50 * time.Millisecond)
	}
	time.Sleep(d)
	proxy.heal()
}

// replace has a new endpoint come and an old one leave; with reuse the old
// one's address goes to an endpoint of the other service.
func (s *site) replace(draw uint64, reuse bool) {
	model := draw%2 == 0
	service := map[bool]string{true: "model", false: "tool"}[model]
	living := s.living(service)
	if len(living) < 2 {
		return
	}
	old := living[draw>>1%uint64(len(living))]
	s.add(model, nil)
	s.leave(old, drainTime)
	if reuse {
		s.add(!model, old)
	}
}

// run injects faults until ctx ends, and waits until they are over.
func (faults *faults) run(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		next := faults.kinds[faults.rng.IntN(len(faults.kinds))]
		f := faults.site.fronts[faults.rng.IntN(frontCount)]
		draw, d := faults.rng.Uint64(), time.Duration(faults.rng.Int64N(int64(longestFault)))
		pause := time.Duration(faults.rng.Int64N(int64(longestPause)))
		if next.planned || !faults.planned {
			faults.log("%6.2fs %s, %s, %s", time.Since(began).Seconds(), next.name, f.Name, d.Round(time.Millisecond))
			faults.running.Go(func() { next.inject(faults.site, f, draw, d) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	faults.running.Wait()
}
