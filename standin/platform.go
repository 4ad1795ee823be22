package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wagtaildrum/wagtaildrum/tableservice"
)

// Platform stands in for the platform's table service, object store and
// instance list. Its zero value is not usable; call NewPlatform.
type Platform struct {
	mu       sync.Mutex
	now      func() time.Time
	records  map[string]tableservice.Record
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
	in tableservice.Instance
}

// NewPlatform returns an empty platform whose instance list lags by lag.
func NewPlatform(lag time.Duration, now func() time.Time) *Platform {
	return &Platform{now: now, records: map[string]tableservice.Record{}, objects: map[string]json.RawMessage{}, lag: lag, refuseAfter: -1}
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
		unavailable(w, "outage")
		return
	}
	if !ok {
		writeJSON(w, http.StatusNotFound, tableservice.ErrorBody{Error: "no such key"})
		return
	}
	writeJSON(w, http.StatusOK, rec)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	var req tableservice.PutRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || key == "" {
		writeJSON(w, http.StatusBadRequest, tableservice.ErrorBody{Error: "want a key and a JSON body"})
		return
	}
	p.mu.Lock()
	if p.refused() {
		p.mu.Unlock()
		unavailable(w, "outage")
		return
	}
	cur := p.records[key]
	if cur.Version != req.ExpectVersion {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, tableservice.ErrorBody{Error: "version conflict", Version: cur.Version})
		return
	}
	rec := tableservice.Record{Key: key, Value: req.Value, Version: cur.Version + 1}
	p.records[key] = rec
	lost := p.ackLost()
	p.mu.Unlock()
	if lost {
		unavailable(w, "answer lost")
		return
	}
	writeJSON(w, http.StatusOK, tableservice.PutResponse{Version: rec.Version})
}

// tx applies all steps or none; it counts as one write.
func (p *Platform) tx(w http.ResponseWriter, r *http.Request) {
	var req tableservice.TxRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Ops) == 0 {
		writeJSON(w, http.StatusBadRequest, tableservice.ErrorBody{Error: "want a JSON body with ops"})
		return
	}
	status, answer := p.applyTx(req.Ops)
	writeJSON(w, status, answer)
}

func (p *Platform) applyTx(ops []tableservice.TxOp) (int, tableservice.ErrorBody) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused() {
		return http.StatusServiceUnavailable, tableservice.ErrorBody{Error: "outage"}
	}
	for _, op := range ops {
		if cur := p.records[op.Key]; !op.Delete && cur.Version != op.ExpectVersion {
			return http.StatusConflict, tableservice.ErrorBody{Error: "version conflict", Version: cur.Version}
		}
	}
	for _, op := range ops {
		if op.Delete {
			delete(p.records, op.Key)
			continue
		}
		p.records[op.Key] = tableservice.Record{Key: op.Key, Value: op.Value, Version: op.ExpectVersion + 1}
	}
	if p.ackLost() {
		return http.StatusServiceUnavailable, tableservice.ErrorBody{Error: "answer lost"}
	}
	return http.StatusOK, tableservice.ErrorBody{}
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	var out []tableservice.Record
	for k, rec := range p.records {
		if strings.HasPrefix(k, prefix) {
			out = append(out, rec)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(out, func(a, b tableservice.Record) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, tableservice.ScanResponse{Records: out})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	p.reads++
	obj, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, tableservice.ErrorBody{Error: "no such object"})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(obj)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil || key == "" {
		writeJSON(w, http.StatusBadRequest, tableservice.ErrorBody{Error: "want a key and a JSON body"})
		return
	}
	p.mu.Lock()
	if p.refused() {
		p.mu.Unlock()
		unavailable(w, "outage")
		return
	}
	p.objects[key] = raw
	lost := p.ackLost()
	p.mu.Unlock()
	if lost {
		unavailable(w, "answer lost")
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
	writeJSON(w, http.StatusOK, tableservice.ObjectsResponse{Names: names})
}

// instances answers the list as it stood lag ago: the real list lags.
func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	cutoff := p.now().Add(-p.lag)
	seen := map[string]tableservice.Instance{}
	for _, c := range p.changes {
		if c.at.After(cutoff) {
			break
		}
		seen[c.in.ID] = c.in
	}
	p.mu.Unlock()
	out := make([]tableservice.Instance, 0, len(seen))
	for _, in := range seen {
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b tableservice.Instance) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, tableservice.InstancesResponse{Instances: out})
}

func (p *Platform) setInstance(w http.ResponseWriter, r *http.Request) {
	var in tableservice.Instance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" {
		writeJSON(w, http.StatusBadRequest, tableservice.ErrorBody{Error: "want an instance with an id"})
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
