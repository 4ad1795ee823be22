//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// readyTimeout bounds the start of an entry instance. The traffic of a small deployment
// starts 10 s after the machines do.
const readyTimeout = 10 * time.Second

// recorder writes the lines of a record with the time since the start. It is safe for
// concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.file, line) // the exit code tells the result, too
}

// site is a small deployment: the store, and the entry instances as processes.
type site struct {
	binary, dir string
	record      *recorder
	memory      *storetest.Memory
	entries     []*entry
	stops       []func()
}

// newSite returns a site without instances or servers, which records to recordPath.
func newSite(binary, recordPath string) (*site, error) {
	dir, err := os.MkdirTemp("", "wagtaildrum-review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &site{binary: binary, dir: dir, record: &recorder{file: file, began: time.Now()}, memory: storetest.New()}, nil
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, e := range s.entries {
		e.kill()
	}
	for _, stop := range s.stops {
		stop()
	}
	_ = os.RemoveAll(s.dir)
}

// configure writes a configuration, as the operator does.
func (s *site) configure(document map[string]any) error {
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return s.memory.Apply(store.Transaction{Puts: []store.Put{{Key: store.Key{Table: "op", Name: "config"}, Value: value}}})
}

// entry is an entry instance, a process of the deploy file's command.
type entry struct {
	name, settings, log           string
	callers, ready, peer, metrics string
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	done                          chan struct{}
	site                          *site
}

// addEntry starts an entry instance in a zone, and waits until it is ready.
func (s *site) addEntry(name, zone string) (*entry, error) {
	e, _, err := s.prepareEntry(name, zone)
	if err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	return e, e.awaitReady()
}

// prepareEntry returns an entry instance that is not started, with a view of its own of the
// store. The settings are those of a small deployment.
func (s *site) prepareEntry(name, zone string) (*entry, *view, error) {
	server := platformtest.NewStoreServer(s.memory)
	s.stops = append(s.stops, server.Close)
	v, err := newView(server.Address())
	if err != nil {
		return nil, nil, err
	}
	s.stops = append(s.stops, v.server.Close)
	e := &entry{name: name, site: s, settings: filepath.Join(s.dir, name+".toml"), log: filepath.Join(s.dir, name+".log")}
	for _, address := range []*string{&e.callers, &e.ready, &e.peer, &e.metrics} {
		var err error
		if *address, err = platformtest.FreeAddress(); err != nil {
			return nil, nil, err
		}
	}
	_, port, err := net.SplitHostPort(e.peer)
	if err != nil {
		return nil, nil, err
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "ist"
port-range = [%s,%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[listen]
front = %q
ready = %q
[limits]
cpu-share = 0.8
cores = 1
ram-mb = 154
max-fds = 8200
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catchup-s = 4.8
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
apply-ms = 2000
downgrade-ms = 250
skew-max-ms = 5000
recover-s = 12
pass-ms = 120
again-s = 0
deadline-s = 10
settle-ms = 1000
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
`, name, zone, port, port, e.callers, e.ready, v.gate.address)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, nil, err
	}
	s.entries = append(s.entries, e)
	return e, v, nil
}

// start starts the process.
func (e *entry) start() error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(e.site.binary, "front", "--metrics="+e.metrics)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAGTAILDRUM_CONFIG=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code is recorded below
		e.site.record.printf("instance %s: process ended: %s", e.name, cmd.ProcessState)
		close(done)
	}()
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	e.site.record.printf("instance %s: process started", e.name)
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(signal syscall.Signal) {
	e.mu.Lock()
	cmd := e.cmd
	e.mu.Unlock()
	e.site.record.printf("instance %s: %s", e.name, signal)
	_ = cmd.Process.Signal(signal) // a process that has ended needs none
}

// kill ends the process and waits until it has ended.
func (e *entry) kill() {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails if the process has ended
	<-done
}

// awaitReady waits until the instance responds 200 to a readiness check.
func (e *entry) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + e.ready + "/wagtaildrum/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready after %s", e.name, readyTimeout)
}
