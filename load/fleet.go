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

// Settings of the processes that are the same in all experiments.
const (
	// sidecarQueueLength is the maximum number of calls queued at a sidecar.
	sidecarQueueLength = 64
	// engineReportLag is the delay with which engines publish their load and
	// cache events, and eventLossPercent the share of events never published.
	engineReportLag  = 300 * time.Millisecond
	eventLossPercent = 5
	// dataCentreCount is the number of data centres of the endpoints.
	dataCentreCount = 3
	// entryCallTimeout is the call timeout of the entry instances.
	entryCallTimeout = 15 * time.Second
	// Limits of the platform stand-in, as in both current deployments.
	platformWritesPerSecond = 800
	platformReadsPerSecond  = 2000
	platformTableTime       = 4 * time.Millisecond
	platformObjectTime      = 25 * time.Millisecond
)

// FleetOptions holds the settings that may differ between runs of an
// experiment.
type FleetOptions struct {
	// Routing is the name of the entry instances' routing policy, and Order
	// of the sidecars' queue order.
	Routing, Order string
	// BasePort is the loopback port before the first one used.
	BasePort int
}

// fleet builds the files of an experiment's deployment.
type fleet struct {
	dir string
	// port is the last allocated port.
	port int
	// processLines holds a line of the file processes for each process.
	processLines []string
	cfg          config.Config
	targets      Targets
}

// WriteFleet writes the files of the experiment's deployment on loopback to
// dir, and creates dir if necessary:
//
//   - NAME.toml, the settings of the process NAME
//   - processes, one line per process with its name, debug address, command
//     and arguments, in starting order
//   - config.toml, the configuration to apply
//   - ctl.toml, the settings of the command that applies it
//   - targets.json, the targets of Run
func WriteFleet(x *Experiment, dir string, opts FleetOptions) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f := &fleet{dir: dir, port: opts.BasePort}
	platformAddr, platformDebug := f.nextAddr(), f.nextAddr()
	platformURL := "http://" + platformAddr
	err := f.addProcess("platform", "standin platform", platformDebug, map[string]any{"listen": platformAddr, "instance_lag": "3s",
		"writes_per_second": platformWritesPerSecond, "reads_per_second": platformReadsPerSecond, "table_time": platformTableTime.String(), "object_time": platformObjectTime.String()})
	if err != nil {
		return err
	}
	f.targets.Platform = "http://" + platformDebug
	for i := range x.Engines {
		if err := f.addEngines(&x.Engines[i], platformURL, opts.Order); err != nil {
			return err
		}
	}
	for i := range x.Tools {
		if err := f.addTools(&x.Tools[i], platformURL, opts.Order); err != nil {
			return err
		}
	}
	// The entry instances are configured with the prefill rate of the first
	// engine group, in tokens per second.
	prefillRate := 0
	if len(x.Engines) > 0 {
		g := &x.Engines[0]
		prefillRate = int(float64(g.PrefillTokens) / g.Step.Seconds())
	}
	for i := range x.Entries {
		listenAddr := f.nextAddr()
		err := f.addProcess(fmt.Sprintf("entry-%d", i+1), "entry", f.nextAddr(), map[string]any{"listen": listenAddr, "peer_listen": f.nextAddr(), "platform": platformURL,
			"lease_ttl": "10s", "config_poll": "200ms", "call_timeout": entryCallTimeout.String(), "drain_timeout": "5s",
			"routing": opts.Routing, "prefill_rate": prefillRate, "block_tokens": blockTokens})
		if err != nil {
			return err
		}
		f.targets.Entries = append(f.targets.Entries, "http://"+listenAddr)
	}
	return f.writeSharedFiles(platformURL)
}

// nextAddr allocates a port and returns its loopback address.
func (f *fleet) nextAddr() string {
	f.port++
	return fmt.Sprintf("127.0.0.1:%d", f.port)
}

// addEngines adds the engines of g and their sidecars.
func (f *fleet) addEngines(g *EngineGroup, platformURL, order string) error {
	for i := range g.Count {
		name := fmt.Sprintf("%s-%d", g.Model, i+1)
		listenAddr, debugAddr, sidecarAddr := f.nextAddr(), f.nextAddr(), f.nextAddr()
		err := f.addProcess(name+"-engine", "standin engine", debugAddr, map[string]any{"listen": listenAddr, "model": g.Model, "step": g.Step.String(),
			"step_per_sequence": g.StepPerSequence.String(), "max_batch": g.Slots, "prefill_tokens": g.PrefillTokens,
			"cache_blocks": g.CacheTokens / blockTokens, "block_tokens": blockTokens, "report_lag": engineReportLag.String(), "event_loss_percent": eventLossPercent})
		if err != nil {
			return err
		}
		f.targets.Engines = append(f.targets.Engines, "http://"+debugAddr)
		f.cfg.Endpoints = append(f.cfg.Endpoints, config.Endpoint{Name: name, Role: "engine", Model: g.Model, Sidecar: sidecarAddr, DataCentre: dataCentre(i)})
		if err := f.addSidecar(name, "engine", sidecarAddr, listenAddr, platformURL, order, g.Admit, g.UrgentOnly); err != nil {
			return err
		}
	}
	return nil
}

// addTools adds the tool services of g and their sidecars.
func (f *fleet) addTools(g *ToolGroup, platformURL, order string) error {
	for i := range g.Count {
		name := fmt.Sprintf("%s-%d", g.Name, i+1)
		listenAddr, debugAddr, sidecarAddr := f.nextAddr(), f.nextAddr(), f.nextAddr()
		if err := f.addProcess(name+"-tool", "standin tool", debugAddr, map[string]any{"listen": listenAddr, "work": g.Work.String()}); err != nil {
			return err
		}
		f.cfg.Endpoints = append(f.cfg.Endpoints, config.Endpoint{Name: name, Role: "tool", Tools: g.Tools, Sidecar: sidecarAddr, DataCentre: dataCentre(i)})
		if err := f.addSidecar(name, "tool", sidecarAddr, listenAddr, platformURL, order, g.Slots, 0); err != nil {
			return err
		}
	}
	return nil
}

// dataCentre returns the data centre of the endpoint with index i in its
// group. Endpoints are spread evenly over the data centres.
func dataCentre(i int) string { return fmt.Sprintf("local-%c", 'a'+i%dataCentreCount) }

// addSidecar adds the sidecar of an endpoint.
func (f *fleet) addSidecar(name, role, listenAddr, endpointAddr, platformURL, order string, admit, urgentOnly int) error {
	return f.addProcess(name, "sidecar", f.nextAddr(), map[string]any{"listen": listenAddr, "endpoint": "http://" + endpointAddr, "role": role,
		"platform": platformURL, "drain_timeout": "5s", "max_concurrent": admit, "max_queued": sidecarQueueLength, "urgent_only": urgentOnly, "order": order})
}

// addProcess writes the settings file of a process and adds its line to
// processLines.
func (f *fleet) addProcess(name, command, debugAddr string, keys map[string]any) error {
	keys["instance_id"], keys["data_centre"], keys["debug"] = name, "local", debugAddr
	path := filepath.Join(f.dir, name+".toml")
	if err := writeTOML(path, keys); err != nil {
		return err
	}
	f.processLines = append(f.processLines, fmt.Sprintf("%s %s %s -s %s", name, debugAddr, command, path))
	return nil
}

// writeSharedFiles writes the files that do not belong to a single process.
func (f *fleet) writeSharedFiles(platformURL string) error {
	processes := strings.Join(f.processLines, "\n") + "\n"
	if err := os.WriteFile(filepath.Join(f.dir, "processes"), []byte(processes), 0o644); err != nil {
		return err
	}
	if err := writeTOML(filepath.Join(f.dir, "config.toml"), &f.cfg); err != nil {
		return err
	}
	if err := writeTOML(filepath.Join(f.dir, "ctl.toml"), map[string]any{"platform": platformURL}); err != nil {
		return err
	}
	raw, err := json.Marshal(&f.targets)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, "targets.json"), raw, 0o644)
}

// writeTOML writes v in TOML to the file at path.
func writeTOML(path string, v any) error {
	raw, err := toml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// ReadTargets reads the file targets.json written by WriteFleet. It returns an
// *AddressError if a target is not a loopback address.
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
