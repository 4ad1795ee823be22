//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wagtaildrum/wagtaildrum/store"
)

// heartbeatInterval is heartbeat-ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// server is a server of a service that registers itself in the store.
type server struct {
	id, service, zone string
	slots             int
	address           string
	seq               int
}

// addServer starts a server that handles requests meant for it by run, tells its load, and
// keeps itself registered as ready. It answers 421 to requests for other servers. The cases
// stay below the number of its slots.
func (s *site) addServer(id, service, zone string, slots int, run http.HandlerFunc) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	sv := &server{id: id, service: service, zone: zone, slots: slots, address: listener.Addr().String()}
	var running atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("X-Instance", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running.Add(1), slots))
		defer running.Add(-1)
		w.Header().Set("X-Server-Stamp", "stamp."+id+"."+r.Header.Get("X-Request-Id"))
		run(w, r)
	})
	srv := &http.Server{Handler: handler}
	go func() { _ = srv.Serve(listener) }() // ends with Close
	stop := make(chan struct{})
	s.stops = append(s.stops, func() { close(stop); _ = srv.Close() })
	if err := sv.register(s); err != nil {
		return nil, err
	}
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				_ = sv.register(s) // the store in memory accepts it
			}
		}
	}()
	return sv, nil
}

// register writes the server's entry.
func (sv *server) register(s *site) error {
	sv.seq++
	value, err := json.Marshal(map[string]any{"backend": sv.service, "addr": sv.address, "zone": sv.zone, "version": "v1", "slots": sv.slots, "state": "ready", "cold-left-ms": 0, "seq": sv.seq})
	if err != nil {
		return err
	}
	return s.memory.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "servers", Name: sv.id}, Value: value}}})
}
