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

// Platform is a stand-in for the platform's table service, object store and
// instance list. The zero value is not usable; use NewPlatform.
type Platform struct {
	mu sync.Mutex
	// now returns the current time; tests may use a simulated clock.
	now     func() time.Time
	records map[string]tableservice.Record
	objects map[string]json.RawMessage
	// changes holds all updates of the instance list, oldest first. The list
	// shows those that are older than instanceLag.
	changes     []instanceChange
	instanceLag time.Duration
	// outage makes every call fail.
	outage bool
	// lostResponses is the number of writes that are still to take effect
	// with their response lost.
	lostResponses int
	// failLeaseReads is the number of lease reads that are still to fail.
	failLeaseReads int
	// writesBeforeRefusal is the number of writes that still take effect
	// before all later writes are rejected without effect. If it is
	// negative, no writes are rejected.
	writesBeforeRefusal int
	limits              Limits
	writeRate           *rate.Limiter
	readRate            *rate.Limiter
	// overRate counts the throttled calls.
	overRate int
	// writes and reads count the served calls.
	writes int
	reads  int
}

// instanceChange is an update of an instance's list entry and its time.
type instanceChange struct {
	at time.Time
	in tableservice.Instance
}

// NewPlatform returns an empty platform. Its instance list shows the state at
// a time instanceLag before now.
func NewPlatform(instanceLag time.Duration, now func() time.Time) *Platform {
	return &Platform{now: now, records: map[string]tableservice.Record{}, objects: map[string]json.RawMessage{}, instanceLag: instanceLag, writesBeforeRefusal: -1}
}

// Counts returns the numbers of writes and of reads served.
func (p *Platform) Counts() (writes, reads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes, p.reads
}

// Handler returns the handler of the platform's HTTP API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table", p.get)
	mux.HandleFunc("PUT /table", p.put)
	mux.HandleFunc("DELETE /table", p.delete)
	mux.HandleFunc("POST /tx", p.tx)
	mux.HandleFunc("GET /scan", p.scan)
	mux.HandleFunc("GET /objects", p.getObject)
	mux.HandleFunc("PUT /objects", p.putObject)
	mux.HandleFunc("DELETE /objects", p.deleteObject)
	mux.HandleFunc("GET /object-names", p.listObjects)
	mux.HandleFunc("GET /instances", p.instances)
	mux.HandleFunc("PUT /instances", p.setInstance)
	return p.withFaults(mux)
}

// get writes the record at a key.
func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	p.mu.Lock()
	p.reads++
	rec, ok := p.records[key]
	fail := p.failLeaseReads > 0 && strings.HasPrefix(key, "lease/")
	if fail {
		p.failLeaseReads--
	}
	p.mu.Unlock()
	if fail {
		writeUnavailable(w, "outage")
		return
	}
	if !ok {
		writeJSON(w, http.StatusNotFound, tableservice.ErrorBody{Error: "no such key"})
		return
	}
	writeJSON(w, http.StatusOK, rec)
}

// put writes a record if its version is the expected one.
func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	var req tableservice.PutRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || key == "" {
		writeJSON(w, http.StatusBadRequest, tableservice.ErrorBody{Error: "want a key and a JSON body"})
		return
	}
	p.mu.Lock()
	if p.refuseWrite() {
		p.mu.Unlock()
		writeUnavailable(w, "outage")
		return
	}
	current := p.records[key]
	if current.Version != req.ExpectVersion {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, tableservice.ErrorBody{Error: "version conflict", Version: current.Version})
		return
	}
	rec := tableservice.Record{Key: key, Value: req.Value, Version: current.Version + 1}
	p.records[key] = rec
	lost := p.countWrite()
	p.mu.Unlock()
	if lost {
		writeUnavailable(w, "answer lost")
		return
	}
	writeJSON(w, http.StatusOK, tableservice.PutResponse{Version: rec.Version})
}

// tx executes a transaction, which counts as one write.
func (p *Platform) tx(w http.ResponseWriter, r *http.Request) {
	var req tableservice.TxRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Ops) == 0 {
		writeJSON(w, http.StatusBadRequest, tableservice.ErrorBody{Error: "want a JSON body with ops"})
		return
	}
	status, answer := p.applyTx(req.Ops)
	writeJSON(w, status, answer)
}

// applyTx applies all of ops or none, and returns the response's status and
// body.
func (p *Platform) applyTx(ops []tableservice.TxOp) (int, tableservice.ErrorBody) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuseWrite() {
		return http.StatusServiceUnavailable, tableservice.ErrorBody{Error: "outage"}
	}
	for _, op := range ops {
		if current := p.records[op.Key]; !op.Delete && current.Version != op.ExpectVersion {
			return http.StatusConflict, tableservice.ErrorBody{Error: "version conflict", Version: current.Version}
		}
	}
	for _, op := range ops {
		if op.Delete {
			delete(p.records, op.Key)
			continue
		}
		p.records[op.Key] = tableservice.Record{Key: op.Key, Value: op.Value, Version: op.ExpectVersion + 1}
	}
	if p.countWrite() {
		return http.StatusServiceUnavailable, tableservice.ErrorBody{Error: "answer lost"}
	}
	return http.StatusOK, tableservice.ErrorBody{}
}

// scan writes the records whose keys have a prefix, in key order.
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

// getObject writes the object with a name.
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

// putObject stores the request body as an object.
func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil || key == "" {
		writeJSON(w, http.StatusBadRequest, tableservice.ErrorBody{Error: "want a key and a JSON body"})
		return
	}
	p.mu.Lock()
	if p.refuseWrite() {
		p.mu.Unlock()
		writeUnavailable(w, "outage")
		return
	}
	p.objects[key] = raw
	lost := p.countWrite()
	p.mu.Unlock()
	if lost {
		writeUnavailable(w, "answer lost")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// delete deletes the records at one or more keys.
func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	for _, key := range r.URL.Query()["key"] {
		delete(p.records, key)
	}
	p.writes++
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

// deleteObject deletes the object with a name.
func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	delete(p.objects, r.URL.Query().Get("key"))
	p.writes++
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

// listObjects writes the object names that have a prefix, in order.
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

// instances writes the instance list as of instanceLag ago, because the
// real platform's list is stale as well.
func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	cutoff := p.now().Add(-p.instanceLag)
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

// setInstance records an update of an instance's list entry.
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

// PlatformState is the state dump of a Platform.
type PlatformState struct {
	Records int  `json:"records"`
	Objects int  `json:"objects"`
	Writes  int  `json:"writes"`
	Reads   int  `json:"reads"`
	Outage  bool `json:"outage"`
	// OverRate is the number of calls rejected by the rate limits.
	OverRate int `json:"over_rate"`
}

// State returns a PlatformState.
func (p *Platform) State() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformState{Records: len(p.records), Objects: len(p.objects), Writes: p.writes, Reads: p.reads, Outage: p.outage, OverRate: p.overRate}
}
