package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/config"
)

const (
	// sampleAbove is the group size above which only some endpoints are
	// weighed for a call: those that hold part of its prompt, the
	// rendezvous choice of its key within a slice, and samples at random.
	// The cost of a decision then does not grow with the fleet.
	sampleAbove = 64
	samples     = 8
	// indexSize bounds the anchors kept; about 130 bytes each.
	indexSize = 100_000
)

// Target is what a call needs: a model for an engine call, a tool name
// for a tool call.
type Target struct {
	Model string
	Tool  string
}

// Request is a call to be routed.
type Request struct {
	Target Target
	// Key is the program, or for a call outside programs its first message.
	Key string
	// Prompt holds the hashes of the prompt's whole blocks; empty for tools.
	Prompt []uint64
	// Tokens is the prompt's length and BlockTokens a block's.
	Tokens, BlockTokens int
	// Hint is the depth in blocks of the program's prompt before this one;
	// 0: none.
	Hint int

	depths []int
}

func (r *Request) anchors() []int {
	if r.depths == nil && len(r.Prompt) > 0 {
		r.depths = Anchors(len(r.Prompt), r.Hint)
	}
	return r.depths
}

// AnchorHashes returns the hashes of the prompt's anchors.
func (r *Request) AnchorHashes() []uint64 {
	out := make([]uint64, 0, len(r.anchors()))
	for _, d := range r.anchors() {
		out = append(out, r.Prompt[d-1])
	}
	return out
}

func (r *Request) unread(held int) int { return max(0, r.Tokens-held*r.BlockTokens) }

// Router picks endpoints by a policy. It is safe for concurrent use.
type Router[P Policy] struct {
	policy P
	clock  clock.Clock

	mu     sync.Mutex
	byName map[string]*Endpoint
	groups map[Target][]*Endpoint
	index  *index
	// believed and cached are the prompt tokens that endpoints were thought
	// to hold and those they said they did; the gap shows how far the index
	// lags behind evictions.
	believed, cached int64
}

// NewRouter returns a router without endpoints.
func NewRouter[P Policy](policy P, clk clock.Clock) *Router[P] {
	return &Router[P]{policy: policy, clock: clk, byName: map[string]*Endpoint{}, groups: map[Target][]*Endpoint{}, index: newIndex(indexSize)}
}

// Update takes in a configuration. What is known of endpoints that stay
// is kept; endpoints that left or drain get no new calls from now on.
func (r *Router[P]) Update(specs []config.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byName := make(map[string]*Endpoint, len(specs))
	groups := map[Target][]*Endpoint{}
	for _, spec := range specs {
		ep := r.byName[spec.Name]
		if ep == nil || ep.spec.Sidecar != spec.Sidecar {
			// Another instance under an old name holds nothing of what the
			// old one did.
			ep = newEndpoint(spec)
		}
		ep.spec = spec
		byName[spec.Name] = ep
		if spec.Draining {
			continue
		}
		for _, t := range targetsOf(&spec) {
			groups[t] = append(groups[t], ep)
		}
	}
	for name, ep := range r.byName {
		if byName[name] != ep {
			r.index.forget(ep)
		}
	}
	r.byName, r.groups = byName, groups
}

func targetsOf(spec *config.Endpoint) []Target {
	if spec.Role != "tool" {
		return []Target{{Model: spec.Model}}
	}
	out := make([]Target, len(spec.Tools))
	for i, tool := range spec.Tools {
		out[i] = Target{Tool: tool}
	}
	return out
}

// Choice is a picked endpoint; every Choice must be ended with Done.
type Choice struct {
	// spec and seen are the endpoint's as of the choice: the endpoint itself
	// is the router's, and may change under its lock.
	spec     config.Endpoint
	seen     uint64
	endpoint *Endpoint
	req      *Request
	unread   int
	held     int
	started  time.Time
	first    bool
}

// Endpoint returns the endpoint's configuration.
func (c *Choice) Endpoint() config.Endpoint { return c.spec }

// Seen returns the number of the endpoint's last report seen when it was
// chosen.
func (c *Choice) Seen() uint64 { return c.seen }

// Pick picks an endpoint for req and counts the call to it, skipping those
// for which skip returns true (such as endpoints that just refused). It
// returns false if none is left.
func (r *Router[P]) Pick(req *Request, skip func(name string) bool) (*Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.index.depths(req)
	candidates := r.candidates(req, held, skip)
	if len(candidates) == 0 {
		return nil, false
	}
	now := r.clock.Now()
	ep := r.policy.Choose(req, candidates, held, now)
	c := &Choice{spec: ep.spec, seen: ep.report, endpoint: ep, req: req, started: now, held: held[ep]}
	if len(req.Prompt) > 0 {
		c.unread = req.unread(held[ep])
	}
	ep.inFlight++
	ep.unread += c.unread
	return c, true
}

func (r *Router[P]) candidates(req *Request, held map[*Endpoint]int, skip func(string) bool) []*Endpoint {
	group := r.groups[req.Target]
	usable := func(ep *Endpoint) bool { return skip == nil || !skip(ep.Name()) }
	var out []*Endpoint
	if len(group) <= sampleAbove {
		for _, ep := range group {
			if usable(ep) {
				out = append(out, ep)
			}
		}
		return out
	}
	for ep := range held {
		if slices.Contains(targetsOf(&ep.spec), req.Target) && !ep.spec.Draining && usable(ep) {
			out = append(out, ep)
		}
	}
	// The same programs meet the same few endpoints at every entry
	// instance, so a prefix nobody has reported yet still lands together.
	start := int(weight(req.Key, req.Target.Model) % uint64(len(group)))
	for i := range samples {
		at := (start + i) % len(group)
		if i >= samples/2 {
			at = rand.IntN(len(group))
		}
		if ep := group[at]; usable(ep) && !slices.Contains(out, ep) {
			out = append(out, ep)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, ep := range group {
		if usable(ep) {
			return []*Endpoint{ep}
		}
	}
	return nil
}

// First notes that the call's first token arrived: its prompt is read.
func (r *Router[P]) First(c *Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read(c)
}

func (r *Router[P]) read(c *Choice) {
	if !c.first {
		c.first = true
		c.endpoint.unread -= c.unread
	}
}

// Outcome is how a call went.
type Outcome struct {
	// Ran: the endpoint answered the call whole.
	Ran bool
	// Cached is how many prompt tokens the endpoint says it held.
	Cached int
	// Report is what the sidecar said at the end; nil: nothing.
	Report *Report
}

// Done ends a choice and learns from how the call went.
func (r *Router[P]) Done(c *Choice, out Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ep := c.endpoint
	now := r.clock.Now()
	r.read(c)
	ep.inFlight--
	if out.Report != nil {
		ep.observe(out.Report, now)
		if out.Report.Reset {
			r.index.forget(ep)
		}
		for _, h := range out.Report.Removed {
			r.index.remove(ep, h)
		}
	}
	if r.byName[ep.Name()] != ep {
		return // it left while the call ran
	}
	if out.Ran {
		ep.served(now.Sub(c.started))
		if len(c.req.Prompt) > 0 {
			// It has read the whole prompt now, whatever it held before.
			r.index.add(ep, c.req)
			r.believed += int64(c.held * c.req.BlockTokens)
			r.cached += int64(out.Cached)
		}
	}
}

// EndpointView is one endpoint in the state dump.
type EndpointView struct {
	Name     string        `json:"name"`
	InFlight int           `json:"in_flight"`
	Others   int           `json:"others"`
	Limit    int           `json:"limit"`
	Service  time.Duration `json:"service_ns"`
	Report   uint64        `json:"report"`
}

// View is a router's part of the state dump.
type View struct {
	Endpoints []EndpointView `json:"endpoints"`
	Anchors   int            `json:"anchors"`
	// Believed and Cached are the prompt tokens that endpoints were thought
	// to hold, and those they said they did.
	Believed int64 `json:"believed_tokens"`
	Cached   int64 `json:"cached_tokens"`
}

// View returns what the router knows, endpoints by name.
func (r *Router[P]) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]EndpointView, 0, len(r.byName))
	for name, ep := range r.byName {
		out = append(out, EndpointView{Name: name, InFlight: ep.inFlight, Others: ep.others, Limit: ep.limit, Service: ep.service, Report: ep.report})
	}
	slices.SortFunc(out, func(a, b EndpointView) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return View{Endpoints: out, Anchors: r.index.anchors.Len(), Believed: r.believed, Cached: r.cached}
}
