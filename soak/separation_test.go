package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

const (
	// untilSole is until instances know that a service has had one version only: 26 s
	// of the list for a route with a timeout of 3 s.
	untilSole = 28 * time.Second
	// longestSeparation bounds how long instances are separated, and separationMargin
	// how long before a release or after its begin that starts.
	longestSeparation = 6 * time.Second
	separationMargin  = 3 * time.Second
	// resumedOutOfStep is the share of attempts to resume a stream that go to an
	// instance that is out of step.
	resumedOutOfStep = 0.6
	// separatedInstances is the number of instances that read tables from each other.
	separatedInstances = 19
)

// separationPlay has callers receive streams while endpoints are replaced and some
// instances are separated from the others.
type separationPlay struct {
	site  *site
	links *peerLinks

	mu sync.Mutex
	// outOfStep are the separated instances.
	outOfStep []*front
	// ends counts how attempts to resume a stream ended.
	ends    map[string]int
	streams int
}

// setOutOfStep records which instances are separated.
func (play *separationPlay) setOutOfStep(fronts []*front) {
	play.mu.Lock()
	defer play.mu.Unlock()
	play.outOfStep = fronts
}

// isOutOfStep reports whether an instance is separated.
func (play *separationPlay) isOutOfStep(name string) bool {
	play.mu.Lock()
	defer play.mu.Unlock()
	return slices.ContainsFunc(play.outOfStep, func(f *front) bool { return f.Name == name })
}

// choose has the caller go on at an instance that is out of step, or at any.
func (play *separationPlay) choose(caller *caller) {
	play.mu.Lock()
	fronts := play.outOfStep
	play.mu.Unlock()
	caller.move()
	if len(fronts) > 0 && caller.rng.Float64() < resumedOutOfStep {
		caller.front = fronts[caller.rng.IntN(len(fronts))]
	}
}

// receive has a caller receive one stream after another until ctx ends, and checks each.
func (play *separationPlay) receive(ctx context.Context, caller *caller, n int) {
	isNamed := n%3 != 0
	for round := 0; ctx.Err() == nil; round++ {
		received := &stream{}
		for began := time.Now(); !received.whole && time.Since(began) < streamPatience && ctx.Err() == nil; {
			a := &attempt{program: fmt.Sprintf("s%d-%d", n, round), kind: kindChat, most: mostTokens, body: "x", prompt: "x", lastEvent: received.last()}
			if isNamed {
				a.resumes = received.first
			}
			serving, isOutOfStep := 0, false
			if a.lastEvent != "" {
				play.choose(caller)
				serving, isOutOfStep = play.site.endpointsOf(received.versions[0]), play.isOutOfStep(caller.front.Name)
			}
			caller.send(ctx, a)
			if a.lastEvent != "" {
				isServing := min(serving, play.site.endpointsOf(received.versions[0])) > 0
				play.record(a, isServing, isOutOfStep || play.isOutOfStep(caller.front.Name), isNamed)
			}
			received.receive(a)
			caller.move()
			caller.sleep(ctx, streamRetryPause)
		}
		received.check(play.site.t.Errorf)
		play.mu.Lock()
		play.streams++
		play.mu.Unlock()
	}
	caller.client.CloseIdleConnections()
}

// record counts an attempt to resume a stream.
func (play *separationPlay) record(a *attempt, isServing, isOutOfStep, isNamed bool) {
	var refused struct{ Error, Reason string }
	end := "continued"
	switch {
	case a.status == http.StatusOK && (len(a.events) > 0 || a.whole):
	case a.status == 0 || a.status == http.StatusOK:
		end = "no answer"
	case json.Unmarshal([]byte(a.answer), &refused) == nil:
		end = fmt.Sprintf("%d %s", a.status, refused.Reason)
		if refused.Reason == "UnknownOrigin" {
			cause, _, _ := strings.Cut(strings.TrimPrefix(refused.Error, "software version that began the stream is unknown: "), " front-")
			end += " (" + cause + ")"
		}
	}
	name := map[bool]string{true: "version serves", false: "version gone"}[isServing]
	place := map[bool]string{true: "out of step", false: "in step"}[isOutOfStep]
	named := map[bool]string{true: "named", false: "unnamed"}[isNamed]
	play.mu.Lock()
	defer play.mu.Unlock()
	play.ends[fmt.Sprintf("%s, %s, %s: %s", name, named, place, end)]++
}

// report logs the counts.
func (play *separationPlay) report() {
	play.mu.Lock()
	defer play.mu.Unlock()
	var text strings.Builder
	total := 0
	for _, name := range slices.Sorted(maps.Keys(play.ends)) {
		total += play.ends[name]
		fmt.Fprintf(&text, "\n%6d %s", play.ends[name], name)
	}
	play.site.t.Logf("%d streams, %d attempts to resume one:%s", play.streams, total, text.String())
}

// separate separates instances for a while, in one of several ways, and makes their way
// to the store slow in some.
func (play *separationPlay) separate(rng *rand.Rand, release int) {
	s := play.site
	group := []*front{s.fronts[rng.IntN(len(s.fronts))]}
	if rng.IntN(3) == 0 {
		group = append(group, s.fronts[(slices.Index(s.fronts, group[0])+1+rng.IntN(len(s.fronts)-1))%len(s.fronts)])
	}
	lost := lossSent + loss(rng.IntN(4))
	d := longestSeparation/8 + time.Duration(rng.Int64N(int64(longestSeparation)))
	trouble := []string{"none", "none", "slow", "very slow", "silent", "unavailable", "frozen"}[rng.IntN(7)]
	names := make([]string, 0, len(group))
	for _, f := range group {
		names = append(names, f.Name)
	}
	s.t.Logf("release %d: %v separated for %s, lost: %s, store or process: %s", release, names, d.Round(time.Millisecond), lossNames[lost], trouble)
	play.setOutOfStep(group)
	play.links.separate(group, lost)
	for _, f := range group {
		switch trouble {
		case "slow":
			f.door.Delay(slowStore)
		case "very slow":
			f.door.Delay(4 * slowStore)
		case "silent":
			f.proxy.cut(wayBack)
		case "unavailable":
			f.door.SetMode(platformtest.ServiceUnavailable)
		}
	}
	if trouble == "frozen" {
		s.freeze(group[0], d/2)
		d /= 2
	}
	if rng.IntN(3) == 0 { // a moment of contact in the middle
		time.Sleep(d / 2)
		play.links.separate(group, lossNone)
		time.Sleep(200 * time.Millisecond)
		play.links.separate(group, lost)
		d /= 2
	}
	time.Sleep(d)
	play.links.separate(group, lossNone)
	for _, f := range group {
		f.door.Delay(0)
		f.door.SetMode(platformtest.Serving)
		f.proxy.heal()
		if trouble == "silent" {
			f.proxy.resetAll(false)
		}
	}
	time.Sleep(time.Second) // what it missed arrives
	play.setOutOfStep(nil)
}

// releaseApart replaces all endpoints while instances are separated.
func (play *separationPlay) releaseApart(rng *rand.Rand, release int) {
	before := time.Duration(rng.Int64N(int64(2*separationMargin))) - separationMargin/2
	overlap := time.Duration(rng.Int64N(int64(2 * time.Second)))
	var running sync.WaitGroup
	running.Go(func() {
		time.Sleep(max(before, 0))
		play.site.replaceAll(fmt.Sprintf("v%d", release+1), overlap)
	})
	time.Sleep(max(-before, 0))
	play.separate(rng, release)
	running.Wait()
}

// playSeparation plays releases, the first and each second one of which after a time with
// one version, and the others a moment later.
func playSeparation(t *testing.T, seed uint64, releases, instances int) {
	rng := rand.New(rand.NewPCG(seed, 6))
	links := newPeerLinks()
	s := newSiteOf(t, seed, siteOptions{versions: []string{"v1"}, events: streamEvents, brokenStreams: brokenStreams, eventDelay: slowEvent, links: links, instances: instances})
	play := &separationPlay{site: s, links: links, ends: map[string]int{}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	renewed := make(chan struct{})
	go s.renewEntries(ctx, func(*endpoint) bool { return false }, renewed)
	b := &book{attempts: map[string]*attempt{}}
	var callers sync.WaitGroup
	if *power {
		time.Sleep(untilSole - separationMargin)
	}
	for n := range callerCount {
		callers.Go(func() { play.receive(ctx, newCaller(s, b, seed, uint64(n)), n) })
	}
	time.Sleep(separationMargin)
	for release := 1; release <= releases; release++ {
		play.releaseApart(rng, release)
		if release%2 == 0 && release < releases {
			time.Sleep(untilSole)
		}
	}
	time.Sleep(separationMargin)
	stop()
	callers.Wait()
	<-renewed
	play.report()
	if t.Failed() && *logs != "" {
		s.keepLogs("separation-" + strconv.FormatUint(seed, 10))
	}
}

// Guards against streams that are joined from two software versions at an instance that is separated from the others, or late, while all endpoints are replaced.
func TestStreamsKeepTheirVersionAtSeparatedInstances(t *testing.T) {
	releases := 1
	if *power {
		releases = 4
	}
	for n := range (*seeds + 1) / 2 {
		seed := *first + uint64(n)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if *power {
				t.Parallel() // most of the time is spent waiting
			}
			playSeparation(t, seed, releases, 0)
		})
	}
}

// Guards against the same where instances read the list of endpoints from each other. It is played by hand only.
func TestStreamsKeepTheirVersionWhereTablesAreReadFromInstances(t *testing.T) {
	if !*power {
		t.Skip("takes 90 s; -soak.power plays it")
	}
	for n := range (*seeds + 1) / 2 {
		seed := *first + uint64(n)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playSeparation(t, seed, 4, separatedInstances) })
	}
}
