package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/logging"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// memoryShare of the process's limit is given to the Go runtime; the
	// rest is for what it does not count: stacks of C, socket buffers.
	memoryShare = 0.75
	// bodyShare of the limit is for the bodies of requests under way: ten
	// times what the heaviest days met take at once.
	bodyShare = 0.25
	// cacheShare of the limit holds turns used lately.
	cacheShare = 0.15
	// upkeepInterval is how often endpoints that did not come back are
	// dropped and unused connections closed.
	upkeepInterval = 500 * time.Millisecond
	// leaveTime is kept for giving up what a stopping instance holds. It
	// counts into the time to stop.
	leaveTime = 700 * time.Millisecond
	// leaveRetry is the pause between tries of that while the store is away,
	// and rowTime is kept of the time to stop for the own entry's removal.
	leaveRetry = 150 * time.Millisecond
	rowTime    = 300 * time.Millisecond
	// settingsInterval is how often the settings file is looked at, since
	// it may change without a signal.
	settingsInterval = 2 * time.Second
)

// frontCommand runs an entry instance on the users' platform.
type frontCommand struct {
	Settings string `long:"settings" short:"s" env:"WAGTAILDRUM_CONFIG" required:"true" description:"the platform's settings file"`
	Metrics  string `long:"metrics" description:"address for metrics and state, HOST:PORT or :PORT"`
}

// Execute serves callers until SIGTERM.
func (c *frontCommand) Execute([]string) error {
	// Unhandled, a hangup ends the process; one may come before it serves.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	lines := logging.NewWriter(os.Stdout)
	writing, endLines := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go lines.Run(writing, written)
	defer func() {
		endLines()
		if err := <-written; err != nil {
			fmt.Fprintln(os.Stderr, "wagtaildrum:", err)
		}
	}()
	p := newLoggingProcess("front", s.Instance, lines)
	ctx, stop := signalled()
	defer stop()
	f := newFront(p, s)
	if c.Metrics != "" {
		if err := p.serveDebug(ctx, c.Metrics, f.gateway.State); err != nil {
			return err
		}
	}
	// What requests in flight need outlives the signal.
	work, end := context.WithCancel(context.Background())
	defer end()
	p.goroutine(work, f.configuration.Run)
	p.goroutine(work, f.endpoints.Run)
	p.goroutine(work, f.instances.Run)
	p.goroutine(work, f.own.Run)
	p.goroutine(work, f.store.Run)
	p.goroutine(work, f.accounts.Sweep)
	p.goroutine(work, f.accounts.Repay)
	p.goroutine(work, f.quotas.Run)
	p.goroutine(work, f.quotas.Watch)
	p.goroutine(ctx, f.accounts.Acquire(f.directory))
	p.goroutine(ctx, f.directory.Join(f.store, p.log))
	p.goroutine(work, f.upkeep)
	p.goroutine(work, func(ctx context.Context, done chan<- error) { watchSettings(ctx, c.Settings, s, hangups, p.log, done) })
	if err := f.serve(ctx, work, s, end); err != nil {
		return err
	}
	p.log.Info("started", "callers", s.Callers, "store", s.Store, "data_centre", s.DataCentre, "owner", f.owner)
	err = p.wait(stop)
	p.log.Info("stopped", "err", err)
	return err
}

// front is the parts of an entry instance on the platform.
type front struct {
	process  *process
	owner    string
	gateway  *gateway.Gateway
	list     *membership.List
	picker   *balance.Picker
	client   *upstream.Client
	accounts *account.Keeper
	quotas   *quota.Limiter
	// own is this instance's way to the store, store all its ways.
	own, store    *store.Guard
	directory     *entrypeer.Directory
	peers         *entrypeer.Server
	configuration *discovery.Follower
	endpoints     *discovery.Follower
	instances     *discovery.Follower
}

func newFront(p *process, s *platform.Settings) *front {
	scope, clk := p.metrics.Scope(), clock.Real{}
	owner := entrypeer.NewOwner(s.Instance, clk.Now())
	own := store.NewGuard(store.NewPersistent(platform.NewStore(s.Store), clk), func(partition string, away bool, err error) {
		p.log.Info("own way to the store", "partition", partition, "away", away, "err", err)
	})
	directory := entrypeer.NewDirectory(entrypeer.Instance{Name: s.Instance, Owner: owner, Address: s.Peer, DataCentre: s.DataCentre}, clk)
	peers := entrypeer.NewClient(directory)
	relay := entrypeer.NewRelay(own, peers)
	current, list := &route.Current{}, membership.NewList()
	guard := store.NewGuard(relay, func(partition string, away bool, err error) {
		p.log.Info("store", "partition", partition, "away", away, "err", err)
		switch {
		case away && partition == store.AllPartitions:
			list.StoreLost()
		case partition == store.AllPartitions:
			list.StoreBack(clk.Now())
		}
	})
	f := &front{process: p, list: list, picker: balance.NewPicker(clk), client: upstream.NewClient(), owner: owner, directory: directory, own: own, store: guard}
	f.accounts = account.NewKeeper(guard, owner, peers, peers, clk, p.log, scope)
	turns := archive.New(guard, peers, s.RowBytes, int(cacheShare*float64(s.Memory)), p.log, scope)
	f.quotas = quota.NewLimiter(peers, s.Tolerance, clk, p.log, scope)
	f.peers = &entrypeer.Server{Store: own, Lender: f.accounts, Turns: turns, Quotas: f.quotas, Directory: directory, Log: p.log}
	self, _ := directory.Members()
	f.gateway = gateway.New(gateway.Parts{
		Instance: self, DataCentre: s.DataCentre, Dialect: platform.Dialect{}, Routes: current, Endpoints: list, Picker: f.picker, Upstream: f.client,
		Accounts:   f.accounts,
		Archive:    turns,
		Quotas:     f.quotas,
		Durability: durability{store: guard, directory: directory}, BodyBytes: int64(bodyShare * float64(s.Memory)),
		Clock: clk, Log: p.log, Metrics: scope,
	})
	f.configuration = discovery.NewFollower(guard, discovery.Configuration(platform.ConfigurationKey, platform.DecodeConfiguration, current, p.log), clk, p.log, scope)
	f.endpoints = discovery.NewFollower(guard, discovery.Endpoints(platform.EndpointTable, platform.DecodeEndpoint, list, f.restarted, clk, p.log), clk, p.log, scope)
	f.instances = discovery.NewFollower(guard, directory.Source(p.log), clk, p.log, scope)
	return f
}

// restarted drops the connections to an endpoint that started again.
func (f *front) restarted(endpoint *membership.Endpoint) { f.client.Drop(endpoint.Address) }

// durability is how the store can be reached from here.
type durability struct {
	store     *store.Guard
	directory *entrypeer.Directory
}

// Away implements gateway.Durability.
func (d durability) Away() bool { return d.store.WholeAway() }

// Slow implements gateway.Durability.
func (d durability) Slow() bool { return d.store.Slow() }

// Isolated implements gateway.Durability.
func (d durability) Isolated() bool { return d.directory.Isolated() }

// serve starts serving callers and readiness until ctx ends. Then it
// drains, and calls end once no request is left.
func (f *front) serve(ctx, work context.Context, s *platform.Settings, end context.CancelFunc) error {
	p := f.process
	callers, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return eris.Wrapf(err, "listen %s", s.Callers)
	}
	ready, err := net.Listen("tcp", s.Ready)
	if err != nil {
		return eris.Wrapf(err, "listen %s", s.Ready)
	}
	peers, err := net.Listen("tcp", s.Peer)
	if err != nil {
		return eris.Wrapf(err, "listen %s", s.Peer)
	}
	p.goroutine(work, serveUntil(ready, f.gateway.ReadyHandler(), p.log))
	p.goroutine(work, serveUntil(peers, f.peers.Handler(), p.log))
	server := gateway.NewServer(f.gateway, p.log)
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) {
		began := make(chan time.Time, 1)
		go func() {
			<-ctx.Done()
			began <- time.Now()
			p.log.Info("draining", "in_flight", f.gateway.InFlight())
			f.gateway.Drain()
		}()
		served := make(chan error, 1)
		server.Serve(ctx, callers, s.Grace-leaveTime, served)
		until := time.Now().Add(leaveTime - rowTime)
		if ctx.Err() != nil {
			if end := (<-began).Add(s.Grace - leaveTime); end.After(until) {
				until = end
			}
		}
		f.leave(until)
		end()
		done <- <-served
	})
	return nil
}

// leave gives up what this instance holds: other instances take over its
// programs. While the store is away it goes on trying until a time: what is
// not given up counts as spent, for its programs and for new ones.
func (f *front) leave(until time.Time) {
	giving, cancelGiving := context.WithDeadline(context.Background(), until)
	defer cancelGiving()
	f.quotas.Stop(giving)
	for {
		err := f.accounts.Stop(giving)
		if err == nil {
			break
		}
		if !clock.Sleep(giving, leaveRetry) {
			f.process.log.Warn("budgets not given back: they count as spent", "err", err)
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), rowTime)
	defer cancel()
	if err := f.directory.Leave(ctx, f.store); err != nil {
		f.process.log.Warn("own entry not removed: other instances find out when they call", "err", err)
	}
}

// serveUntil serves handler on listener until the context ends. Whoever
// calls then is cut off, and must be: what is granted to another instance
// after this one has given up what it holds is held by nobody who could give
// it back.
func serveUntil(listener net.Listener, handler http.Handler, log *slog.Logger) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		srv := &http.Server{Handler: logging.Panics(handler, log), ReadHeaderTimeout: 5 * time.Second, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
		ended := make(chan error, 1)
		go func() { ended <- srv.Serve(listener) }()
		<-ctx.Done()
		_ = srv.Close()
		done <- <-ended
	}
}

// upkeep drops endpoints that did not come back and connections unused.
func (f *front) upkeep(ctx context.Context, done chan<- error) {
	clock.Every(ctx, upkeepInterval, func(now time.Time) {
		for _, id := range f.list.Expire(now) {
			f.process.log.Info("endpoint did not come back after the store's return", "endpoint", id)
		}
		f.client.Trim()
		f.picker.Forget(f.list.Knows)
	}, done)
}

// watchSettings logs changes of the settings file, told by SIGHUP or found.
// All that may change while a process runs is taken from the store.
func watchSettings(ctx context.Context, path string, current *platform.Settings, hangups <-chan os.Signal, log *slog.Logger, done chan<- error) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	modified := time.Time{}
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-hangups:
			log.Info("reload asked for")
		case <-ticker.C:
			info, err := os.Stat(path)
			if err != nil || info.ModTime().Equal(modified) {
				continue
			}
			modified = info.ModTime()
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			log.Error("settings refused: the last ones stay in force", "err", err)
			continue
		}
		if *next != *current {
			log.Info("settings changed", "from", *current, "to", *next)
			current = next
		}
	}
}
