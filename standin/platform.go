package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtaildrum/wagtaildrum/platform"
)

// Platform stands in for the platform's table service, object store and
// instance list. Its zero value is not usable; call NewPlatform.
type Platform struct {
	mu       sync.Mutex
	now      func() time.Time
	records  map[string]platform.Record
	objects  map[string]json.RawMessage
	changes  []instanceChange
	lag      time.Duration
	outage   bool
	lostAcks int
	// failReads is how many more reads of leases fail.
	failReads int
	// refuseAfter is how many more writes take effect before every later
	// write is refused without effect; negative: never.
	refuseAfter int
	limits      Limits
	writeRate   *rate.Limiter
	readRate    *rate.Limiter
	overRate    int
	writes      int
	reads       int
}

type instanceChange struct {
	at time.Time
	in platform.Instance
}

// NewPlatform returns an empty platform whose instance list lags by lag.
func NewPlatform(lag time.Duration, now func() time.Time) *Platform {
	return &Platform{now: now, records: map[string]platform.Record{}, objects: map[string]json.RawMessage{}, lag: lag, refuseAfter: -1}
}

// SetOutage makes every call fail with 503 while on is true.
func (p *Platform) SetOutage(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = on
}

// LoseAcks makes the next n writes take effect and then answer 503, as a
// platform whose answer is lost after the write committed.
func (p *Platform) LoseAcks(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAcks = n
}

// FailReads makes the next n reads of leases fail with 503.
func (p *Platform) FailReads(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failReads = n
}

// RefuseWritesAfter lets the next n writes take effect, then refuses every
// later write with 503 and no effect (an outage that starts between two
// writes), until called with a negative n.
func (p *Platform) RefuseWritesAfter(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuseAfter = n
}

// refused reports whether the next write is refused, counting it down.
func (p *Platform) refused() bool {
	switch {
	case p.refuseAfter == 0:
		return true
	case p.refuseAfter > 0:
		p.refuseAfter--
	}
	return false
}

// Counts returns the writes and reads served so far.
func (p *Platform) Counts() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// Handler returns the platform's HTTP API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table", p.get)
	mux.HandleFunc("PUT /table", p.put)
	mux.HandleFunc("DELETE /table", p.delete)
	mux.HandleFunc("POST /tx", p.tx)
	mux.HandleFunc("GET /scan", p.scan)
	mux.HandleFunc("GET /objects", p.getObject)
	mux.HandleFunc("PUT /objects", p.putObject)
	mux.HandleFunc("DELETE /objects", p.dropObject)
	mux.HandleFunc("GET /object-names", p.listObjects)
	mux.HandleFunc("GET /instances", p.instances)
	mux.HandleFunc("PUT /instances", p.setInstance)
	return p.faults(mux)
}

// Limits are how fast the platform answers and how much it takes. The zero
// value answers at once and takes everything.
type Limits struct {
	// WritesPerSecond and ReadsPerSecond are taken; more are answered 503.
	WritesPerSecond, ReadsPerSecond int
	// Table and Object are the times of a call to each service.
	Table, Object time.Duration
}

// SetLimits sets the platform's limits.
func (p *Platform) SetLimits(l Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
	p.writeRate = rate.NewLimiter(limitOf(l.WritesPerSecond), max(1, l.WritesPerSecond/4))
	p.readRate = rate.NewLimiter(limitOf(l.ReadsPerSecond), max(1, l.ReadsPerSecond/4))
}

func limitOf(perSecond int) rate.Limit {
	if perSecond == 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// pace holds a call for as long as its service takes, and reports whether
// the call is within the rates.
func (p *Platform) pace(r *http.Request) bool {
	p.mu.Lock()
	limits, limiter := p.limits, p.readRate
	if r.Method != http.MethodGet {
		limiter = p.writeRate
	}
	p.mu.Unlock()
	if limiter != nil && !limiter.Allow() {
		p.mu.Lock()
		p.overRate++
		p.mu.Unlock()
		return false
	}
	if strings.HasPrefix(r.URL.Path, "/object") {
		time.Sleep(limits.Object)
	} else {
		time.Sleep(limits.Table)
	}
	return true
}

func (p *Platform) faults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		down := p.outage
		p.mu.Unlock()
		if down {
			writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody{Error: "outage"})
			return
		}
		if !p.pace(r) {
			writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody{Error: "too many calls"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ackLost counts a write and reports whether its answer is to be lost.
func (p *Platform) ackLost() bool {
	p.writes++
	if p.lostAcks > 0 {
		p.lostAcks--
		return true
	}
	return false
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	p.reads++
	rec, ok := p.records[key]
	fail := p.failReads > 0 && strings.HasPrefix(key, "lease/")
	if fail {
		p.failReads--
	}
	p.mu.Unlock()
	if fail {
		writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody{Error: "outage"})
		return
	}
	if !ok {
		writeJSON(w, http.StatusNotFound, platform.ErrorBody{Error: "no such key"})
		return
	}
	writeJSON(w, http.StatusOK, rec)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	var req platform.PutRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || key == "" {
		writeJSON(w, http.StatusBadRequest, platform.ErrorBody{Error: "want a key and a JSON body"})
		return
	}
	p.mu.Lock()
	if p.refused() {
		p.mu.Unlock()
		writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody{Error: "outage"})
		return
	}
	cur := p.records[key]
	if cur.Version != req.ExpectVersion {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, platform.ErrorBody{Error: "version conflict", Version: cur.Version})
		return
	}
	rec := platform.Record{Key: key, Value: req.Value, Version: cur.Version + 1}
	p.records[key] = rec
	lost := p.ackLost()
	p.mu.Unlock()
	if lost {
		writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody{Error: "answer lost"})
		return
	}
	writeJSON(w, http.StatusOK, platform.PutResponse{Version: rec.Version})
}

// tx applies all steps or none; it counts as one write.
func (p *Platform) tx(w http.ResponseWriter, r *http.Request) {
	var req platform.TxRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Ops) == 0 {
		writeJSON(w, http.StatusBadRequest, platform.ErrorBody{Error: "want a JSON body with ops"})
		return
	}
	status, answer := p.applyTx(req.Ops)
	writeJSON(w, status, answer)
}

func (p *Platform) applyTx(ops []platform.TxOp) (int, platform.ErrorBody) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused() {
		return http.StatusServiceUnavailable, platform.ErrorBody{Error: "outage"}
	}
	for _, op := range ops {
		if cur := p.records[op.Key]; !op.Delete && cur.Version != op.ExpectVersion {
			return http.StatusConflict, platform.ErrorBody{Error: "version conflict", Version: cur.Version}
		}
	}
	for _, op := range ops {
		if op.Delete {
			delete(p.records, op.Key)
			continue
		}
		p.records[op.Key] = platform.Record{Key: op.Key, Value: op.Value, Version: op.ExpectVersion + 1}
	}
	if p.ackLost() {
		return http.StatusServiceUnavailable, platform.ErrorBody{Error: "answer lost"}
	}
	return http.StatusOK, platform.ErrorBody{}
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	var out []platform.Record
	for k, rec := range p.records {
		if strings.HasPrefix(k, prefix) {
			out = append(out, rec)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(out, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, platform.ScanResponse{Records: out})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	p.reads++
	obj, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, platform.ErrorBody{Error: "no such object"})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(obj)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil || key == "" {
		writeJSON(w, http.StatusBadRequest, platform.ErrorBody{Error: "want a key and a JSON body"})
		return
	}
	p.mu.Lock()
	if p.refused() {
		p.mu.Unlock()
		writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody{Error: "outage"})
		return
	}
	p.objects[key] = raw
	lost := p.ackLost()
	p.mu.Unlock()
	if lost {
		writeJSON(w, http.StatusServiceUnavailable, platform.ErrorBody{Error: "answer lost"})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	for _, key := range r.URL.Query()["key"] {
		delete(p.records, key)
	}
	p.writes++
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) dropObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	delete(p.objects, r.URL.Query().Get("key"))
	p.writes++
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	names := []string{}
	for k := range p.objects {
		if strings.HasPrefix(k, prefix) {
			names = append(names, k)
		}
	}
	p.mu.Unlock()
	slices.Sort(names)
	writeJSON(w, http.StatusOK, platform.ObjectsResponse{Names: names})
}

// instances answers the list as it stood lag ago: the real list lags.
func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	cutoff := p.now().Add(-p.lag)
	seen := map[string]platform.Instance{}
	for _, c := range p.changes {
		if c.at.After(cutoff) {
			break
		}
		seen[c.in.ID] = c.in
	}
	p.mu.Unlock()
	out := make([]platform.Instance, 0, len(seen))
	for _, in := range seen {
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b platform.Instance) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, platform.InstancesResponse{Instances: out})
}

func (p *Platform) setInstance(w http.ResponseWriter, r *http.Request) {
	var in platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" {
		writeJSON(w, http.StatusBadRequest, platform.ErrorBody{Error: "want an instance with an id"})
		return
	}
	p.mu.Lock()
	p.changes = append(p.changes, instanceChange{at: p.now(), in: in})
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

// PlatformState is the platform stand-in's state dump.
type PlatformState struct {
	Records int  `json:"records"`
	Objects int  `json:"objects"`
	Writes  int  `json:"writes"`
	Reads   int  `json:"reads"`
	Outage  bool `json:"outage"`
	// OverRate counts calls refused for coming too fast.
	OverRate int `json:"over_rate"`
}

// State returns a snapshot for the state dump.
func (p *Platform) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformState{Records: len(p.records), Objects: len(p.objects), Writes: p.writes, Reads: p.reads, Outage: p.outage, OverRate: p.overRate}
}
