package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// Sizes of a site. Three data centres, so that calls go to others, too.
const (
	frontCount = 5
	modelCount = 4
	toolCount  = 3
)

// startTime is how long a process takes until it handles signals.
const startTime = 100 * time.Millisecond

var dataCentres = []string{"a", "b", "c"}

// site is one deployment: entry instances as processes of their own, and
// stand-ins of the store and the endpoints, each behind a proxy.
type site struct {
	t      *testing.T
	memory *storetest.Memory
	dir    string // of the instances' files
	fronts []*front

	mu        sync.Mutex
	endpoints []*endpoint
	// crashes holds the endpoints that ended under each crashing request, and lapses
	// is done once the entries of all crashed endpoints have lapsed.
	crashes map[string][]crash
	lapses  sync.WaitGroup
	// interrupted holds when each front was killed or suspended.
	interrupted map[string][]time.Time
	version     int
	named       int
	siteOptions
	// rotation counts the changes of an organisation's key, quota is the rate and
	// burst of the one that has a quota.
	rotation int
	quota    float64
	// releases counts the releases of software.
	releases int
	// failing is the share of requests that endpoints fail in some way.
	failing float64
	rng     *rand.Rand
}

// front is an entry instance, with its own way to the store.
type front struct {
	*platformtest.FrontProcess
	door  *platformtest.StoreServer
	proxy *proxy
	// life is held by whoever stops or starts the process.
	life sync.Mutex
	// stopped by SIGSTOP; a restart ends that.
	stopped bool
}

// endpoint is an endpoint behind a proxy.
type endpoint struct {
	*platformtest.Endpoint
	proxy      *proxy
	gone       bool
	dataCentre string
}

func newSite(t *testing.T, seed uint64) *site { return newSiteOf(t, seed, siteOptions{}) }

// siteOptions selects what a site has beyond the usual.
type siteOptions struct {
	organisations bool
	// versions are the software versions of the model endpoints, assigned in
	// turn; none if empty.
	versions []string
	// events is the number of events of a stream; 0 for that of the stand-in.
	events int
	// brokenStreams is the share of streams that endpoints break off after one of
	// their events.
	brokenStreams float64
	// slots is the number of requests that a model endpoint processes at a time, the
	// others wait in it; 0 for no limit. eventDelay is the delay before each event of
	// a stream; 0 for that of the other sites.
	slots      int
	eventDelay time.Duration
	// perService is the number of endpoints of each service, 0 for the usual ones.
	perService int
	// grace is the grace period of the instances; 0 for that of the stand-ins.
	grace time.Duration
	// links, unless nil, carry the calls between the instances.
	links *peerLinks
	// instances is the number of instances, all of one data centre; 0 for frontCount in
	// several.
	instances int
}

// newSiteOf returns a site with the given options.
func newSiteOf(t *testing.T, seed uint64, options siteOptions) *site {
	t.Helper()
	s := &site{t: t, crashes: map[string][]crash{}, interrupted: map[string][]time.Time{}, memory: storetest.New(), rng: rand.New(rand.NewPCG(seed, 1)), siteOptions: options, quota: usualQuota}
	s.configure()
	models, tools := modelCount, toolCount
	if options.perService > 0 {
		models, tools = options.perService, options.perService
	}
	for n := range models + tools {
		s.add(n < models, nil)
	}
	s.dir = t.TempDir()
	for n := range cmp.Or(options.instances, frontCount) {
		dataCentre := dataCentres[0]
		if options.instances == 0 {
			dataCentre = dataCentres[n%len(dataCentres)]
		}
		s.fronts = append(s.fronts, s.newFront(fmt.Sprintf("front-%d", n+1), dataCentre))
	}
	for _, f := range s.fronts {
		require.Eventually(t, f.IsReady, 10*time.Second, 10*time.Millisecond, "%s: %s", f.Name, f.ReadLog())
	}
	return s
}

// newFront starts an entry instance.
func (s *site) newFront(name, dataCentre string) *front {
	s.t.Helper()
	door := platformtest.NewStoreServer(s.memory)
	s.t.Cleanup(door.Close)
	address := door.Address()
	if s.links != nil {
		address = s.links.serveStore(s.t, name, address)
	}
	p, err := newProxy(address)
	require.NoError(s.t, err)
	s.t.Cleanup(p.close)
	process, err := platformtest.NewFrontProcess(s.dir, name, dataCentre, p.address())
	require.NoError(s.t, err)
	if s.grace > 0 {
		data, err := os.ReadFile(process.Settings)
		require.NoError(s.t, err)
		changed := strings.Replace(string(data), "grace-s = 8", fmt.Sprintf("grace-s = %g", s.grace.Seconds()), 1)
		require.NoError(s.t, os.WriteFile(process.Settings, []byte(changed), 0o600))
	}
	f := &front{FrontProcess: process, door: door, proxy: p}
	require.NoError(s.t, f.Start())
	s.t.Cleanup(f.Kill)
	return f
}

// configure puts the next version of the configuration in force.
func (s *site) configure() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configureLocked()
}

// configureLocked is configure for a caller that holds mu.
func (s *site) configureLocked() int {
	s.version += 1 + s.named%3
	document := platformtest.Configuration(s.version)
	if s.organisations {
		document = platformtest.WithOrganisations(document, s.organisationsLocked()...)
	}
	platformtest.PutConfiguration(s.memory, document)
	return s.version
}

// add registers a new endpoint, at an address of its own or at that of one
// that is gone.
func (s *site) add(model bool, before *endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named++
	e := &endpoint{Endpoint: platformtest.NewEndpoint(fmt.Sprintf("e%d", s.named), map[bool]string{true: "model", false: "tool"}[model], model)}
	s.t.Cleanup(e.Close)
	e.EventDelay = 5 * time.Millisecond
	if model && len(s.versions) > 0 {
		e.Version = s.versions[s.named%len(s.versions)]
	}
	if s.events > 0 {
		e.Events = s.events
	}
	if model && s.slots > 0 {
		e.Slots, e.Limited = s.slots, true
	}
	if model && s.eventDelay > 0 {
		e.EventDelay = s.eventDelay
	}
	e.SetBehaviour(s.behaveOrCrash(e, model))
	if before != nil {
		e.proxy = before.proxy
		e.proxy.retarget(e.Address())
	} else {
		var err error
		if e.proxy, err = newProxy(e.Address()); err != nil {
			s.t.Error(err)
			return
		}
		s.t.Cleanup(e.proxy.close)
	}
	e.Public = e.proxy.address()
	e.dataCentre = dataCentres[s.named%len(dataCentres)]
	e.Register(s.memory, e.dataCentre, "ready")
	s.endpoints = append(s.endpoints, e)
}

// behave draws what endpoints do with each request.
func (s *site) behave(model bool) func(*platformtest.ReceivedRequest) platformtest.Behaviour {
	return func(*platformtest.ReceivedRequest) platformtest.Behaviour {
		s.mu.Lock()
		defer s.mu.Unlock()
		if model && s.brokenStreams > 0 && s.rng.Float64() < s.brokenStreams {
			return platformtest.Behaviour{ResetAfter: 1 + s.rng.IntN(s.events-1)}
		}
		if s.rng.Float64() >= s.failing {
			return platformtest.Behaviour{}
		}
		if !model {
			return []platformtest.Behaviour{{RejectFull: true}, {DropResponse: true}, {StaleResponse: true}, {Status: 500}}[s.rng.IntN(4)]
		}
		return []platformtest.Behaviour{{RejectFull: true}, {DropResponse: true}, {ResetAfter: -1}, {ResetAfter: 1}, {ResetAfter: 2}}[s.rng.IntN(5)]
	}
}

// behaveOrCrash is behave for an endpoint that crashes under a crashing request.
func (s *site) behaveOrCrash(e *endpoint, model bool) func(*platformtest.ReceivedRequest) platformtest.Behaviour {
	behave := s.behave(model)
	return func(run *platformtest.ReceivedRequest) platformtest.Behaviour {
		if strings.Contains(run.Path, crashPath) {
			return s.crashUnder(e, run)
		}
		return behave(run)
	}
}

func (s *site) fail(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = share
}

// living returns the endpoints that have not left.
func (s *site) living(service string) []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var living []*endpoint
	for _, e := range s.endpoints {
		if !e.gone && e.Service == service {
			living = append(living, e)
		}
	}
	return living
}

func (s *site) all() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*endpoint(nil), s.endpoints...)
}

// leave has an endpoint drain, and go after the time that it serves on.
func (s *site) leave(e *endpoint, serves time.Duration) {
	s.mu.Lock()
	e.gone = true
	s.mu.Unlock()
	e.Register(s.memory, "a", "draining")
	time.Sleep(serves)
	e.Unregister(s.memory)
}

// restart ends the process by signal, or kills it, and starts it again after
// pause.
func (s *site) restart(f *front, signal syscall.Signal, pause time.Duration) {
	f.life.Lock()
	defer f.life.Unlock()
	if signal == syscall.SIGTERM && !f.stopped {
		s.check(f.Signal(signal))
		if code, err := f.Wait(); err != nil || code != 0 {
			s.t.Errorf("%s ended by SIGTERM with code %d: %v", f.Name, code, err)
		}
	}
	s.interrupt(f)
	f.Kill()
	f.stopped = false
	time.Sleep(pause)
	s.check(f.Start())
	// Before it handles signals, any ends the process.
	time.Sleep(startTime)
}

// freeze stops the process for a while, as a machine that stands still.
func (s *site) freeze(f *front, d time.Duration) {
	f.life.Lock()
	s.interrupt(f)
	s.check(f.Signal(syscall.SIGSTOP))
	f.stopped = true
	f.life.Unlock()
	time.Sleep(d)
	f.life.Lock()
	defer f.life.Unlock()
	if f.stopped {
		s.check(f.Signal(syscall.SIGCONT))
		f.stopped = false
	}
}

// interrupt notes that the process is about to be killed or suspended.
func (s *site) interrupt(f *front) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted[f.Name] = append(s.interrupted[f.Name], time.Now())
}

func (s *site) hangup(f *front) {
	f.life.Lock()
	defer f.life.Unlock()
	s.check(f.Signal(syscall.SIGHUP))
}

func (s *site) check(err error) {
	if err != nil {
		s.t.Error(err)
	}
}

// heal ends all faults and waits until all instances take callers.
func (s *site) heal() {
	s.fail(0)
	s.memory.SetFault(func(string, string) storetest.Fault { return storetest.None })
	s.memory.ApplyLost()
	for _, f := range s.fronts {
		f.door.SetMode(platformtest.Serving)
		f.door.Delay(0)
		f.proxy.heal()
	}
	for _, e := range s.all() {
		e.proxy.heal()
	}
	for _, f := range s.fronts {
		require.Eventually(s.t, f.IsReady, 15*time.Second, 20*time.Millisecond, "%s is not ready: %s", f.Name, tail(f.ReadLog()))
	}
}

// tail returns the end of a log.
func tail(log string) string { return log[max(len(log)-4000, 0):] }
