//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// The organisations of the case, and the bounds of the settings.
const (
	quotaOrganisations = 12
	quotaRate          = 20
	quotaBurst         = 5
	quotaWindow        = 5 * time.Second
	quotaOverage       = 0.1
	quotaSlack         = 20
	// demandInterval is the time between two requests of an organisation at an instance.
	demandInterval = 30 * time.Millisecond
	// cutAfter is the time from the first request to the cut, which lasts for cutTime.
	cutAfter, cutTime = 6 * time.Second, 5500 * time.Millisecond
)

func init() { cases["quota-near"] = quotaNear }

// view is the store as one instance reaches it, through a gate. In the rows that the
// instance reads, the addresses of some instances are those of gates.
type view struct {
	server *httptest.Server
	gate   *gate
	mu     sync.Mutex
	gates  map[string]string // addresses of gates by that of the instance
}

// newView returns a view of the store at the address backend.
func newView(backend string) (*view, error) {
	v := &view{gates: map[string]string{}}
	v.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Clone(r.Context())
		request.URL.Scheme, request.URL.Host, request.RequestURI = "http", backend, ""
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = response.Body.Close() }() // read to its end
		data, err := io.ReadAll(response.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		data = v.rewrite(data)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(data) // the instance may be gone
	}))
	var err error
	v.gate, err = newGate(v.server.Listener.Addr().String())
	return v, err
}

// rewrite replaces addresses of instances in the rows of a response. All addresses have
// the same length.
func (v *view) rewrite(data []byte) []byte {
	var page map[string]json.RawMessage
	var rows []map[string]any
	if json.Unmarshal(data, &page) != nil || json.Unmarshal(page["rows"], &rows) != nil {
		return data
	}
	decoder := json.NewDecoder(bytes.NewReader(page["rows"]))
	decoder.UseNumber()
	if decoder.Decode(&rows) != nil {
		return data
	}
	for _, row := range rows {
		var value struct {
			Value []byte `json:"value"`
		}
		text, err := json.Marshal(row)
		if row["table"] != "entries" || err != nil || json.Unmarshal(text, &value) != nil {
			continue
		}
		v.mu.Lock()
		for address, gate := range v.gates {
			value.Value = bytes.ReplaceAll(value.Value, []byte(address), []byte(gate))
		}
		v.mu.Unlock()
		row["value"] = value.Value
	}
	text, err := json.Marshal(rows)
	if err != nil {
		return data
	}
	page["rows"] = text
	if text, err = json.Marshal(page); err != nil {
		return data
	}
	return text
}

// quotaRuns holds when servers ran requests of each organisation.
type quotaRuns struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// quotaNear cuts one instance off from the store and from the instances of other zones, so
// that it still reaches the other instance of its zone. Callers of all organisations ask
// each zone for more than their quota. It returns the number of organisations of which more
// requests ran in some window than their quota and the tolerance allow.
func quotaNear(s *site, trouble bool) (int, error) {
	if err := s.configure(quotaDocument()); err != nil {
		return 0, err
	}
	runs := &quotaRuns{runs: map[string][]time.Time{}}
	for i := range 7 {
		run := func(w http.ResponseWriter, r *http.Request) {
			runs.mu.Lock()
			organisation := r.Header.Get("X-Tenant")
			runs.runs[organisation] = append(runs.runs[organisation], time.Now())
			runs.mu.Unlock()
			_, _ = io.WriteString(w, "answer")
		}
		if _, err := s.addServer(fmt.Sprintf("i-uygula-%d", i), "uygula", "ist-a", 64, run); err != nil {
			return 0, err
		}
	}
	entries, gates, err := addGatedEntries(s)
	if err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Second) // traffic starts 10 s after the machines do
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range quotaOrganisations {
		for _, e := range []*entry{entries[0], entries[2]} {
			clients.Go(func() { askQuota(e, n, stop) })
		}
	}
	time.Sleep(cutAfter)
	if trouble {
		s.record.printf("%s is cut off from the store, %s and %s; it reaches %s", entries[0].name, entries[2].name, entries[3].name, entries[1].name)
		for _, g := range gates {
			g.cut()
		}
	}
	time.Sleep(cutTime)
	for _, g := range gates {
		if trouble {
			if err := g.open(); err != nil {
				return 0, err
			}
		}
	}
	s.record.printf("the cut has ended")
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return judgeQuota(s, runs)
}

// quotaDocument returns the configuration.
func quotaDocument() map[string]any {
	var tenants []any
	for n := range quotaOrganisations {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", n), "api-keys": []string{fmt.Sprintf("key-of-tenant-%d", n)}, "rate-per-s": quotaRate, "burst": quotaBurst})
	}
	return map[string]any{"version": 1, "services": []any{map[string]any{"name": "uygula", "health-path": "/health", "max-conns": 96, "proto": "h1", "tls": false}}, "tenants": tenants,
		"routes": []any{map[string]any{"name": "look", "host": host, "path-prefix": "/look/", "kind": "idempotent", "timeout-ms": 1200, "slo-ms": 120, "priority": 2, "backend": "uygula", "attempts": 2}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
}

// addGatedEntries starts two instances in each of two zones, with gates between the first
// one and the store, and between the first one and those of the other zone, both ways.
func addGatedEntries(s *site) (entries []*entry, gates []*gate, err error) {
	var views []*view
	for _, name := range []string{"front-ist-a-1", "front-ist-a-2", "front-ist-b-1", "front-ist-b-2"} {
		e, v, err := s.prepareEntry(name, name[6:11])
		if err != nil {
			return nil, nil, err
		}
		entries, views = append(entries, e), append(views, v)
	}
	gates = append(gates, views[0].gate)
	for _, other := range []int{2, 3} {
		for _, way := range [][2]int{{0, other}, {other, 0}} {
			g, err := newGate(entries[way[1]].peer)
			if err != nil {
				return nil, nil, err
			}
			views[way[0]].gates[entries[way[1]].peer] = g.address
			gates = append(gates, g)
		}
	}
	for _, e := range entries {
		if err := e.start(); err != nil {
			return nil, nil, err
		}
	}
	for _, e := range entries {
		if err := e.awaitReady(); err != nil {
			return nil, nil, err
		}
	}
	return entries, gates, nil
}

// askQuota sends requests of an organisation to an instance until stop is closed.
func askQuota(e *entry, n int, stop <-chan struct{}) {
	c := &client{address: e.callers}
	defer c.close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(demandInterval):
		}
		header := map[string]string{"X-Request-Id": fmt.Sprintf("%s-%d-%d", e.name, n, i), "X-Deadline-Ms": "1200", "Api-Key": fmt.Sprintf("key-of-tenant-%d", n)}
		response, err := c.send(http.MethodGet, "/look/a", header, "")
		if err != nil {
			c.close()
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || response.Close {
			c.close()
		}
	}
}

// judgeQuota returns the number of organisations with a window beyond what is allowed.
func judgeQuota(s *site, runs *quotaRuns) (int, error) {
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	broken := 0
	runs.mu.Lock()
	defer runs.mu.Unlock()
	for n := range quotaOrganisations {
		name := fmt.Sprintf("tenant-%d", n)
		times, most, first := runs.runs[name], 0, 0
		for last := range times {
			for times[last].Sub(times[first]) > quotaWindow {
				first++
			}
			most = max(most, last-first+1)
		}
		s.record.printf("%s: %d requests ran, %d in the fullest window of 5 s, %.1f allowed", name, len(times), most, allowed)
		if float64(most) > allowed {
			broken++
		}
	}
	if len(runs.runs) != quotaOrganisations {
		return 0, fmt.Errorf("requests of %d organisations ran", len(runs.runs))
	}
	return broken, nil
}
