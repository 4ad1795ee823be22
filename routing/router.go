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
	// maxUnsampledGroup is the largest group in which every endpoint is
	// evaluated for a call. In a larger group the candidates are the
	// endpoints that hold part of the prompt, a run of endpoints at an offset
	// derived from the request's key, and random samples. The cost of a
	// decision then does not grow with the fleet.
	maxUnsampledGroup = 64
	// sampleSize is the number of endpoints sampled from a group larger than
	// maxUnsampledGroup: half of them by the request's key, half at random.
	sampleSize = 8
	// maxAnchors bounds the anchors in the cache index, each of which takes
	// about 130 bytes.
	maxAnchors = 100_000
)

// Target is the capability that a call needs: a model for an engine call, a
// tool name for a tool call.
type Target struct {
	Model string
	Tool  string
}

// Request describes a call to be routed. It is not safe for concurrent use.
type Request struct {
	Target Target
	// Key is the program's ID, or the first message of a call outside any
	// program.
	Key string
	// Prompt holds the hashes of the prompt's full blocks. It is empty for a
	// tool call.
	Prompt []uint64
	// Tokens is the length of the prompt in tokens, and BlockTokens that of a
	// block.
	Tokens, BlockTokens int
	// Hint is the depth, in blocks, of the program's previous prompt, or 0 if
	// there is none.
	Hint int

	// depths caches the result of anchors.
	depths []int
}

// anchors returns the depths of the prompt's anchors, computed on the first
// call.
func (r *Request) anchors() []int {
	if r.depths == nil && len(r.Prompt) > 0 {
		r.depths = Anchors(len(r.Prompt), r.Hint)
	}
	return r.depths
}

// AnchorHashes returns the hashes of the prompt's anchors, in ascending order
// of depth.
func (r *Request) AnchorHashes() []uint64 {
	out := make([]uint64, 0, len(r.anchors()))
	for _, d := range r.anchors() {
		out = append(out, r.Prompt[d-1])
	}
	return out
}

// unread returns the number of prompt tokens to prefill at an endpoint that
// holds the given number of leading blocks.
func (r *Request) unread(held int) int { return max(0, r.Tokens-held*r.BlockTokens) }

// Router selects endpoints by a policy. It is safe for concurrent use.
type Router[P Policy] struct {
	policy P
	clock  clock.Clock

	mu         sync.Mutex
	byName     map[string]*Endpoint
	groups     map[Target][]*Endpoint
	cacheIndex *cacheIndex
	// expectedCached and reportedCached count the prompt tokens that
	// endpoints were expected to hold in their cache and those they reported
	// as cached. The difference shows how far the index lags behind
	// evictions.
	expectedCached, reportedCached int64
}

// NewRouter returns a router without endpoints.
func NewRouter[P Policy](policy P, clk clock.Clock) *Router[P] {
	return &Router[P]{policy: policy, clock: clk, byName: map[string]*Endpoint{}, groups: map[Target][]*Endpoint{}, cacheIndex: newCacheIndex(maxAnchors)}
}

// Update replaces the list of endpoints. The state of endpoints that remain
// at the same sidecar address is kept; removed and draining endpoints are not
// selected for further calls.
func (r *Router[P]) Update(specs []config.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byName := make(map[string]*Endpoint, len(specs))
	groups := map[Target][]*Endpoint{}
	for _, spec := range specs {
		ep := r.byName[spec.Name]
		if ep == nil || ep.spec.Sidecar != spec.Sidecar {
			// A different sidecar address under the same name is a new
			// endpoint with an empty cache.
			ep = newEndpoint(spec)
		}
		ep.spec = spec
		byName[spec.Name] = ep
		if spec.Draining {
			continue
		}
		for _, t := range endpointTargets(&spec) {
			groups[t] = append(groups[t], ep)
		}
	}
	for name, ep := range r.byName {
		if byName[name] != ep {
			r.cacheIndex.forget(ep)
		}
	}
	r.byName, r.groups = byName, groups
}

// endpointTargets returns the targets that an endpoint serves: its model, or
// each of its tools.
func endpointTargets(spec *config.Endpoint) []Target {
	if spec.Role != "tool" {
		return []Target{{Model: spec.Model}}
	}
	out := make([]Target, len(spec.Tools))
	for i, tool := range spec.Tools {
		out[i] = Target{Tool: tool}
	}
	return out
}

// Choice is the result of a Pick. The caller must end every Choice with Done,
// which removes the call from the endpoint's load.
type Choice struct {
	// spec and reportAtPick are copies made at the time of the choice: the
	// endpoint itself may change under the router's lock.
	spec         config.Endpoint
	reportAtPick uint64
	endpoint     *Endpoint
	req          *Request
	unread       int
	held         int
	started      time.Time
	prefilled    bool
}

// Endpoint returns the configuration of the chosen endpoint.
func (c *Choice) Endpoint() config.Endpoint { return c.spec }

// LastReport returns the sequence number of the latest report received from the
// endpoint at the time of the choice.
func (c *Choice) LastReport() uint64 { return c.reportAtPick }

// Pick selects an endpoint for req and counts the call as in flight there. It
// leaves out endpoints for which skip returns true, such as those that just
// refused the call; a nil skip leaves out none. It returns false if no
// endpoint remains.
func (r *Router[P]) Pick(req *Request, skip func(name string) bool) (*Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.cacheIndex.depths(req)
	candidates := r.candidates(req, held, skip)
	if len(candidates) == 0 {
		return nil, false
	}
	now := r.clock.Now()
	ep := r.policy.Choose(req, candidates, held, now)
	c := &Choice{spec: ep.spec, reportAtPick: ep.lastReport, endpoint: ep, req: req, started: now, held: held[ep]}
	if len(req.Prompt) > 0 {
		c.unread = req.unread(held[ep])
	}
	ep.inFlight++
	ep.unread += c.unread
	return c, true
}

// candidates returns the endpoints to evaluate for req: all usable ones of a
// small group, otherwise the holders of part of the prompt and a sample. If
// none of these is usable, it returns any one usable endpoint of the group,
// or nil.
func (r *Router[P]) candidates(req *Request, held map[*Endpoint]int, skip func(string) bool) []*Endpoint {
	group := r.groups[req.Target]
	usable := func(ep *Endpoint) bool { return skip == nil || !skip(ep.Name()) }
	var out []*Endpoint
	if len(group) <= maxUnsampledGroup {
		for _, ep := range group {
			if usable(ep) {
				out = append(out, ep)
			}
		}
		return out
	}
	for ep := range held {
		if slices.Contains(endpointTargets(&ep.spec), req.Target) && !ep.spec.Draining && usable(ep) {
			out = append(out, ep)
		}
	}
	// The offset depends only on the key and the model, so that every entry
	// instance selects the same few endpoints for a program, and a prefix not
	// yet recorded in the index is still cached in few places.
	start := int(rendezvousWeight(req.Key, req.Target.Model) % uint64(len(group)))
	for i := range sampleSize {
		at := (start + i) % len(group)
		if i >= sampleSize/2 {
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

// FirstToken records that the call's first output token arrived, which ends the
// prefill of its prompt.
func (r *Router[P]) FirstToken(c *Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promptProcessed(c)
}

// promptProcessed removes the call's prompt from the tokens that the endpoint
// has yet to prefill, once per call.
func (r *Router[P]) promptProcessed(c *Choice) {
	if !c.prefilled {
		c.prefilled = true
		c.endpoint.unread -= c.unread
	}
}

// Outcome describes how a call ended.
type Outcome struct {
	// Completed reports whether the endpoint returned a complete response.
	Completed bool
	// Cached is the number of prompt tokens that the endpoint reported as
	// cached.
	Cached int
	// Report is the sidecar's report at the end of the call, or nil if none
	// arrived.
	Report *Report
}

// Done ends the call of c and updates the endpoint's load, service time and
// recorded cache contents from its outcome. It must be called once for each
// Choice.
func (r *Router[P]) Done(c *Choice, out Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ep := c.endpoint
	now := r.clock.Now()
	r.promptProcessed(c)
	ep.inFlight--
	if out.Report != nil {
		ep.observe(out.Report, now)
		if out.Report.Reset {
			r.cacheIndex.forget(ep)
		}
		for _, h := range out.Report.Removed {
			r.cacheIndex.remove(ep, h)
		}
	}
	if r.byName[ep.Name()] != ep {
		return // the endpoint was removed or replaced during the call
	}
	if out.Completed {
		ep.recordServiceTime(now.Sub(c.started))
		if len(c.req.Prompt) > 0 {
			// The endpoint has now prefilled and cached the full prompt,
			// whatever it held before.
			r.cacheIndex.add(ep, c.req)
			r.expectedCached += int64(c.held * c.req.BlockTokens)
			r.reportedCached += int64(out.Cached)
		}
	}
}

// EndpointView holds the state of one endpoint in the state dump.
type EndpointView struct {
	Name     string        `json:"name"`
	InFlight int           `json:"in_flight"`
	Others   int           `json:"others"`
	Limit    int           `json:"limit"`
	Service  time.Duration `json:"service_ns"`
	Report   uint64        `json:"report"`
}

// View holds the router's section of the state dump.
type View struct {
	Endpoints []EndpointView `json:"endpoints"`
	Anchors   int            `json:"anchors"`
	// Believed and Cached count the prompt tokens that endpoints were
	// expected to hold in their cache and those they reported as cached.
	Believed int64 `json:"believed_tokens"`
	Cached   int64 `json:"cached_tokens"`
}

// View returns a snapshot of the router's state, with endpoints sorted by
// name.
func (r *Router[P]) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]EndpointView, 0, len(r.byName))
	for name, ep := range r.byName {
		out = append(out, EndpointView{Name: name, InFlight: ep.inFlight, Others: ep.otherCalls, Limit: ep.limit, Service: ep.serviceTime, Report: ep.lastReport})
	}
	slices.SortFunc(out, func(a, b EndpointView) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return View{Endpoints: out, Anchors: r.cacheIndex.anchors.Len(), Believed: r.expectedCached, Cached: r.reportedCached}
}
