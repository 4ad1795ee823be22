package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/wagtaildrum/wagtaildrum/config"
)

// Fixed settings of an experiment's processes.
const (
	queueLength   = 64
	reportLag     = 300 * time.Millisecond
	eventLoss     = 5
	dataCentres   = 3
	entryCallTime = 15 * time.Second
	// The platform's limits, as both deployments have them today.
	storeWrites = 800
	storeReads  = 2000
	storeTable  = 4 * time.Millisecond
	storeObject = 25 * time.Millisecond
)

// FleetOptions are what may differ between two runs of an experiment.
type FleetOptions struct {
	// Routing and Order name the entries' and the sidecars' policies.
	Routing, Order string
	// BasePort is the first of the loopback ports used.
	BasePort int
}

// fleet collects the processes of an experiment and their settings.
type fleet struct {
	dir   string
	port  int
	lines []string
	cfg   config.Config
	out   Targets
}

// WriteFleet writes to dir what is needed to run the experiment's
// deployment on loopback: a settings file per process; processes, one
// command line each, in the order in which to start them; config.toml, the
// configuration to apply; ctl.toml; and targets.json for Run.
func WriteFleet(x *Experiment, dir string, opts FleetOptions) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f := &fleet{dir: dir, port: opts.BasePort}
	platformAddr, platformDebug := f.addr(), f.addr()
	platformURL := "http://" + platformAddr
	err := f.process("platform", "standin platform", platformDebug, map[string]any{"listen": platformAddr, "instance_lag": "3s",
		"writes_per_second": storeWrites, "reads_per_second": storeReads, "table_time": storeTable.String(), "object_time": storeObject.String()})
	if err != nil {
		return err
	}
	f.out.Platform = "http://" + platformDebug
	for i := range x.Engines {
		if err := f.engines(&x.Engines[i], platformURL, opts.Order); err != nil {
			return err
		}
	}
	for i := range x.Tools {
		if err := f.tools(&x.Tools[i], platformURL, opts.Order); err != nil {
			return err
		}
	}
	rate := 0
	if len(x.Engines) > 0 {
		g := &x.Engines[0]
		rate = int(float64(g.PrefillTokens) / g.Step.Seconds())
	}
	for i := range x.Entries {
		listen := f.addr()
		err := f.process(fmt.Sprintf("entry-%d", i+1), "entry", f.addr(), map[string]any{"listen": listen, "peer_listen": f.addr(), "platform": platformURL,
			"lease_ttl": "10s", "config_poll": "200ms", "call_timeout": entryCallTime.String(), "drain_timeout": "5s",
			"routing": opts.Routing, "prefill_rate": rate, "block_tokens": blockTokens})
		if err != nil {
			return err
		}
		f.out.Entries = append(f.out.Entries, "http://"+listen)
	}
	return f.finish(platformURL)
}

func (f *fleet) addr() string {
	f.port++
	return fmt.Sprintf("127.0.0.1:%d", f.port)
}

func (f *fleet) engines(g *EngineGroup, platformURL, order string) error {
	for i := range g.Count {
		name := fmt.Sprintf("%s-%d", g.Model, i+1)
		listen, debug, side := f.addr(), f.addr(), f.addr()
		err := f.process(name+"-engine", "standin engine", debug, map[string]any{"listen": listen, "model": g.Model, "step": g.Step.String(),
			"step_per_sequence": g.StepPerSequence.String(), "max_batch": g.Slots, "prefill_tokens": g.PrefillTokens,
			"cache_blocks": g.CacheTokens / blockTokens, "block_tokens": blockTokens, "report_lag": reportLag.String(), "event_loss_percent": eventLoss})
		if err != nil {
			return err
		}
		f.out.Engines = append(f.out.Engines, "http://"+debug)
		f.cfg.Endpoints = append(f.cfg.Endpoints, config.Endpoint{Name: name, Role: "engine", Model: g.Model, Sidecar: side, DataCentre: dataCentre(i)})
		if err := f.sidecar(name, "engine", side, listen, platformURL, order, g.Admit, g.UrgentOnly); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) tools(g *ToolGroup, platformURL, order string) error {
	for i := range g.Count {
		name := fmt.Sprintf("%s-%d", g.Name, i+1)
		listen, debug, side := f.addr(), f.addr(), f.addr()
		if err := f.process(name+"-tool", "standin tool", debug, map[string]any{"listen": listen, "work": g.Work.String()}); err != nil {
			return err
		}
		f.cfg.Endpoints = append(f.cfg.Endpoints, config.Endpoint{Name: name, Role: "tool", Tools: g.Tools, Sidecar: side, DataCentre: dataCentre(i)})
		if err := f.sidecar(name, "tool", side, listen, platformURL, order, g.Slots, 0); err != nil {
			return err
		}
	}
	return nil
}

func dataCentre(i int) string { return fmt.Sprintf("local-%c", 'a'+i%dataCentres) }

func (f *fleet) sidecar(name, role, listen, endpoint, platformURL, order string, admit, urgentOnly int) error {
	return f.process(name, "sidecar", f.addr(), map[string]any{"listen": listen, "endpoint": "http://" + endpoint, "role": role,
		"platform": platformURL, "drain_timeout": "5s", "max_concurrent": admit, "max_queued": queueLength, "urgent_only": urgentOnly, "order": order})
}

// process writes one process's settings and adds its command line.
func (f *fleet) process(name, command, debug string, keys map[string]any) error {
	keys["instance_id"], keys["data_centre"], keys["debug"] = name, "local", debug
	path := filepath.Join(f.dir, name+".toml")
	if err := writeTOML(path, keys); err != nil {
		return err
	}
	f.lines = append(f.lines, fmt.Sprintf("%s %s %s -s %s", name, debug, command, path))
	return nil
}

func (f *fleet) finish(platformURL string) error {
	processes := strings.Join(f.lines, "\n") + "\n"
	if err := os.WriteFile(filepath.Join(f.dir, "processes"), []byte(processes), 0o644); err != nil {
		return err
	}
	if err := writeTOML(filepath.Join(f.dir, "config.toml"), &f.cfg); err != nil {
		return err
	}
	if err := writeTOML(filepath.Join(f.dir, "ctl.toml"), map[string]any{"platform": platformURL}); err != nil {
		return err
	}
	raw, err := json.Marshal(&f.out)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, "targets.json"), raw, 0o644)
}

func writeTOML(path string, v any) error {
	raw, err := toml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// ReadTargets reads the targets.json that WriteFleet wrote.
func ReadTargets(path string) (*Targets, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var t Targets
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, err
	}
	return &t, t.check()
}
