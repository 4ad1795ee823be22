//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

const (
	// memoryMB is the memory limit of a process, and graceTime the time between SIGTERM
	// and SIGKILL, as on the small deployments.
	memoryMB  = 154
	graceTime = 8 * time.Second
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// startTimeout bounds the time until a process is ready.
	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

// settingsText is the settings file of an instance, as the platform writes it.
const settingsText = `node = %q
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "riga-a"
region = "riga"
port-range = [%s,%s]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[zones]
riga-a = "riga"
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.8
cores = 1
ram-mb = %d
max-fds = 8200
link-mbps = 1000.0
disk-mb = 0
[bounds]
reuse-after-s = 2
contact-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
apply-ms = 2000
downgrade-ms = 250
recover-s = 12
quota-window-s = 5
quota-overage = 0.1
quota-slack = 20
[provider]
addr = %q
form = "table"
writes-per-s = 800
reads-per-s = 2000
tx-ms = 3.0
part-writes-s = 300
row-bytes = 65536
across = true
history-s = 20
`

// errNotReady is the error for an instance that is not ready in time.
var errNotReady = errors.New("an instance is not ready in time")

// site is the platform with its store, endpoints and entry instances.
type site struct {
	record *record
	dir    string
	memory *storetest.Memory
	store  *platformtest.StoreServer
	// movedStore serves the same store at another address; nil before that.
	movedStore *platformtest.StoreServer
	endpoints  []*platformtest.Endpoint
	fronts     []*front
}

// newSite returns a site with an empty store.
func newSite(record *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	memory := storetest.New()
	return &site{record: record, dir: dir, memory: memory, store: platformtest.NewStoreServer(memory)}, nil
}

// close ends all processes and servers.
func (s *site) close() {
	for _, front := range s.fronts {
		front.kill()
		front.store.CloseClientConnections()
	}
	for _, endpoint := range s.endpoints {
		endpoint.Close()
	}
	if s.movedStore != nil {
		s.movedStore.Close()
	}
	s.store.Close()
	_ = os.RemoveAll(s.dir)
}

// addEndpoints starts and registers endpoints of a service.
func (s *site) addEndpoints(service string, count int, isStream bool) {
	for n := range count {
		endpoint := platformtest.NewEndpoint(fmt.Sprintf("%s-%d", service, n), service, isStream)
		endpoint.Register(s.memory, "riga-a", "ready")
		s.endpoints = append(s.endpoints, endpoint)
	}
}

// configure writes the operator's configuration.
func (s *site) configure(configuration map[string]any) error {
	value, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	return s.memory.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "op", Name: "config"}, Value: value}}})
}

// front is an entry instance that runs as a process.
type front struct {
	name                            string
	settings, log                   string
	callers, ready, metrics, listen string
	peerPort                        string
	// store is the store as this instance reaches it. lose, unless nil, returns after
	// which time a call is performed that gets no response, and false for other calls.
	store *httptest.Server
	lose  func(body []byte) (after time.Duration, ok bool)
	cmd   *exec.Cmd
}

// addFront writes the settings of an instance and starts it.
func (s *site) addFront(name string) (*front, error) {
	f := &front{name: name, settings: filepath.Join(s.dir, name+".toml"), log: filepath.Join(s.dir, name+".log")}
	for _, address := range []*string{&f.callers, &f.ready, &f.metrics, &f.listen} {
		var err error
		if *address, err = platformtest.FreeAddress(); err != nil {
			return nil, err
		}
	}
	target, err := url.Parse("http://" + s.store.Address())
	if err != nil {
		return nil, err
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0) // calls that an instance gives up are no news
	f.store = httptest.NewServer(f.losing(proxy))
	if _, f.peerPort, err = net.SplitHostPort(f.listen); err != nil {
		return nil, err
	}
	if err := f.writeSettings(f.store.Listener.Addr().String()); err != nil {
		return nil, err
	}
	s.fronts = append(s.fronts, f)
	return f, f.start()
}

// writeSettings writes the settings file of the instance, with the store's address.
func (f *front) writeSettings(store string) error {
	text := fmt.Sprintf(settingsText, f.name, f.peerPort, f.peerPort, f.callers, f.ready, memoryMB, store)
	return os.WriteFile(f.settings, []byte(text), 0o600)
}

// losing returns next behind the calls that get no response.
func (f *front) losing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.lose == nil || r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		after, ok := f.lose(body)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		late := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
		late.Header = r.Header.Clone()
		time.AfterFunc(after, func() { next.ServeHTTP(httptest.NewRecorder(), late) })
		<-r.Context().Done()
	})
}

// start starts the process with the command of the deploy file.
func (f *front) start() error {
	logFile, err := os.OpenFile(f.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
	f.cmd = exec.Command("target/wagtaildrum", "front", "--metrics="+f.metrics)
	f.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAGTAILDRUM_CONFIG=" + f.settings}
	f.cmd.Stdout, f.cmd.Stderr = logFile, logFile
	return f.cmd.Start()
}

// terminate sends SIGTERM and waits until the process has ended, as the platform does.
func (f *front) terminate() error {
	if err := f.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	killer := time.AfterFunc(graceTime, func() { _ = f.cmd.Process.Kill() })
	defer killer.Stop()
	_ = f.cmd.Wait() // the exit code does not matter
	return nil
}

// kill ends the process at once.
func (f *front) kill() {
	if f.cmd == nil || f.cmd.ProcessState != nil {
		return
	}
	_ = f.cmd.Process.Kill()
	_ = f.cmd.Wait()
}

// isReady reports whether the instance is ready.
func (f *front) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.ready + "/wagtaildrum/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready.
func (f *front) awaitReady() error {
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if f.isReady() {
			return nil
		}
	}
	return errNotReady
}
