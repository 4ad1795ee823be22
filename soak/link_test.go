package soak

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
)

// entriesTable is the table with one row per entry instance.
const entriesTable = "entries"

// peerLinks are proxies for the calls between instances, one for each instance that
// calls and each that is called. An instance finds the others through the store, so what
// it reads there names the proxies in place of the instances.
type peerLinks struct {
	mu      sync.Mutex
	proxies map[peerLink]*proxy
}

// peerLink names an instance that calls another one.
type peerLink struct{ from, to string }

func newPeerLinks() *peerLinks { return &peerLinks{proxies: map[peerLink]*proxy{}} }

// serveStore serves the store at address to one instance, and returns where.
func (links *peerLinks) serveStore(t *testing.T, instance, address string) string {
	reverse := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	reverse.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	reverse.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	reverse.ErrorLog = nil
	reverse.ModifyResponse = func(response *http.Response) error {
		if response.Request.URL.Query().Get("table") != entriesTable || response.StatusCode != http.StatusOK {
			return nil
		}
		return links.rewrite(t, instance, response)
	}
	server := httptest.NewUnstartedServer(reverse)
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// rewrite replaces the addresses of instances in a page of the store.
func (links *peerLinks) rewrite(t *testing.T, instance string, response *http.Response) error {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var page map[string]json.RawMessage
	var rows []map[string]any
	if err := json.Unmarshal(data, &page); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(page["rows"]))
	decoder.UseNumber()
	if err := decoder.Decode(&rows); err != nil {
		return err
	}
	for _, row := range rows {
		name, _ := row["key"].(string)
		text, _ := row["value"].(string)
		if name == instance || text == "" {
			continue
		}
		var value []byte
		if err := json.Unmarshal([]byte(`"`+text+`"`), &value); err != nil {
			return err
		}
		var entry entrypeer.Instance
		if err := codec.Unmarshal(value, &entry); err != nil {
			return err
		}
		if entry.Address, err = links.between(t, instance, name, entry.Address); err != nil {
			return err
		}
		if row["value"], err = codec.Marshal(&entry); err != nil {
			return err
		}
	}
	if page["rows"], err = json.Marshal(rows); err != nil {
		return err
	}
	if data, err = json.Marshal(page); err != nil {
		return err
	}
	response.Body, response.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
	response.Header.Del("Content-Length")
	return nil
}

// between returns the address at which from calls to.
func (links *peerLinks) between(t *testing.T, from, to, address string) (string, error) {
	links.mu.Lock()
	defer links.mu.Unlock()
	key := peerLink{from: from, to: to}
	p, ok := links.proxies[key]
	if !ok {
		var err error
		if p, err = newProxy(address); err != nil {
			return "", err
		}
		t.Cleanup(p.close)
		links.proxies[key] = p
	}
	return p.address(), nil
}

// loss is what is lost between the instances of a group and all others.
type loss int

const (
	lossNone  loss = iota
	lossSent       // what the group sends
	lossHeard      // what is sent to the group
	lossBoth
	lossReset // all connections are reset
)

// lossNames name the losses in logs.
var lossNames = strings.Fields("none sent heard both reset")

// separate loses what passes between a group of instances and all others, until it is
// called with lossNone.
func (links *peerLinks) separate(group []*front, lost loss) {
	isMember := map[string]bool{}
	for _, f := range group {
		isMember[f.Name] = true
	}
	links.mu.Lock()
	defer links.mu.Unlock()
	for link, p := range links.proxies {
		if isMember[link.from] == isMember[link.to] {
			continue
		}
		request, response := wayTo, wayBack
		if isMember[link.to] {
			request, response = response, request
		}
		switch lost {
		case lossNone:
			p.heal()
			p.resetAll(false) // those that were held stay silent otherwise
		case lossSent:
			p.cut(request)
		case lossHeard:
			p.cut(response)
		case lossBoth:
			p.cut(wayBoth)
		case lossReset:
			p.resetAll(true)
		}
	}
}
