package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtaildrum/wagtaildrum/account"
	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/entrypeer"
	"github.com/wagtaildrum/wagtaildrum/feed"
	"github.com/wagtaildrum/wagtaildrum/gateway"
	"github.com/wagtaildrum/wagtaildrum/logging"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/overload"
	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/resumption"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/shutdown"
	"github.com/wagtaildrum/wagtaildrum/store"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// goMemoryShare is the share of the process's memory limit that is set as
	// the limit of the Go runtime. The remainder is for memory that the runtime
	// does not count, such as C stacks and socket buffers.
	goMemoryShare = 0.75
	// callerMemoryShare is the share of the memory limit that callers can make an instance
	// hold: connections, requests in flight, and responses that are not read.
	callerMemoryShare = 0.3
	// peerMemoryShare is that of other instances.
	peerMemoryShare = 0.1
	// callerConnShare and peerConnShare are the shares of the descriptors for the connections
	// of callers and of other instances. The others are for outgoing connections.
	callerConnShare = 0.5
	peerConnShare   = 0.25
	// programMemoryShare is the share of the memory limit for the budgets of programs, and
	// programMemory what one takes, in bytes.
	programMemoryShare = 0.08
	programMemory      = 2 << 10
	// turnCacheShare is the share of the memory limit for the cache of recently
	// used turns.
	turnCacheShare = 0.15
	// maintenanceInterval is the interval at which endpoints that did not
	// register again are dropped and idle connections are closed.
	maintenanceInterval = 500 * time.Millisecond
	// releaseRetryInterval is the delay between attempts to release the state of a
	// stopping instance while the store is unavailable.
	releaseRetryInterval = 150 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is checked
	// for changes, since it may change without a signal.
	settingsPollInterval = 2 * time.Second
	// checkpointInterval is the interval of checkpoints of software versions. The
	// history of the store reaches back 20 s: a checkpoint has to be in it when the
	// first streams are resumed after a loss of power, some seconds later.
	checkpointInterval = 8 * time.Second
	// checkpointWriters is the number of instances that write checkpoints of software
	// versions: the first ones by rendezvous hashing of checkpointRanking. With two,
	// one may fail just before a loss of power of all.
	checkpointWriters = 2
	checkpointRanking = "versions"
)

// frontCommand is the front command, which runs an entry instance on the users'
// platform.
type frontCommand struct {
	Settings string `long:"settings" short:"s" env:"WAGTAILDRUM_CONFIG" required:"true" description:"the platform's settings file"`
	Metrics  string `long:"metrics" description:"address for metrics and state, HOST:PORT or :PORT"`
}

// Execute serves callers until SIGTERM or SIGINT. It then drains: it completes
// the requests in flight within the grace period, releases the instance's state
// and exits.
func (c *frontCommand) Execute([]string) error {
	// SIGHUP requests a reload. It is handled before anything else, since an
	// unhandled SIGHUP terminates the process and one may arrive during startup.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(goMemoryShare * float64(s.Memory)))
	logWriter := logging.NewWriter(os.Stdout)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan error, 1)
	go logWriter.Run(logCtx, logDone)
	defer func() {
		stopLog()
		if err := <-logDone; err != nil {
			fmt.Fprintln(os.Stderr, "wagtaildrum:", err)
		}
	}()
	p := newLoggingProcess("front", s.Instance, logWriter)
	ctx, stop := signalContext()
	defer stop()
	f := newFront(p, s)
	if c.Metrics != "" {
		if err := p.serveDebug(ctx, c.Metrics, f.gateway.State, s.Memory); err != nil {
			return err
		}
	}
	// Goroutines that requests in flight depend on keep running after the signal.
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	p.goroutine(workCtx, f.configuration.Run)
	p.goroutine(workCtx, f.endpoints.Run)
	p.goroutine(workCtx, f.instances.Run)
	p.goroutine(workCtx, f.crashTable.Run)
	p.goroutine(workCtx, f.crashes.Run)
	p.goroutine(workCtx, func(ctx context.Context, done chan<- error) {
		clock.Every(ctx, quarantine.TickInterval, func(time.Time) {
			if f.store.AllUnavailable() {
				f.directory.PostponeIntroduction()
			}
			f.guard.Tick(ctx)
		}, done)
	})
	p.goroutine(workCtx, f.versions.Run(checkpointInterval, f.writesCheckpoints))
	p.goroutine(workCtx, f.origins.Run)
	p.goroutine(workCtx, f.directStore.Run)
	p.goroutine(workCtx, f.store.Run)
	p.goroutine(workCtx, f.accounts.Sweep)
	p.goroutine(workCtx, f.accounts.SettleRows(f.directory))
	p.goroutine(workCtx, f.accounts.Repay)
	p.goroutine(workCtx, f.quotas.Run)
	p.goroutine(workCtx, f.quotas.Watch)
	p.goroutine(ctx, f.accounts.Acquire(f.directory))
	p.goroutine(ctx, f.directory.Join(f.unhedgedStore, f.store, p.log))
	p.goroutine(workCtx, f.maintain)
	p.goroutine(workCtx, func(ctx context.Context, done chan<- error) { watchSettings(ctx, c.Settings, s, hangups, p.log, done) })
	if err := f.serve(ctx, workCtx, s, stopWork); err != nil {
		return err
	}
	p.log.Info("started", "callers", s.Callers, "store", s.Store, "data_centre", s.DataCentre, "owner", f.owner)
	err = p.wait(stop)
	p.log.Info("stopped", "err", err)
	return err
}

// front holds the components of an entry instance on the users' platform.
type front struct {
	process *process
	// owner names this incarnation of the instance as owner of its state.
	owner   string
	gateway *gateway.Gateway
	// list holds the endpoints; endpoints keeps it current.
	list     *membership.List
	picker   *balance.Picker
	client   *upstream.Client
	accounts *account.Manager
	quotas   *quota.Limiter
	// directStore reaches the store by this instance's own connections only.
	// store also relays through other instances while those connections fail.
	directStore, store *store.Guard
	// unhedgedStore is the direct connection without repeats of slow calls.
	unhedgedStore store.Store
	directory     *entrypeer.Directory
	peers         *entrypeer.Server
	routes        *route.Current
	configuration *discovery.Follower
	endpoints     *discovery.Follower
	instances     *discovery.Follower
	// versions tells the software versions of endpoints; writesCheckpoints reports
	// whether this instance is one of those that write checkpoints of them.
	versions          *discovery.Versions
	writesCheckpoints func() bool
	// origins holds where streams began.
	origins *resumption.Registry
	// guard holds the requests under which endpoints crashed; crashes keeps them in the
	// store, and crashTable reads those of other instances.
	guard      *quarantine.Guard
	crashes    *discovery.Crashes
	crashTable *discovery.Follower
	shutdown   *shutdown.Shutdown
}

func newFront(p *process, s *platform.Settings) *front {
	scope, clk := p.metrics.Scope(), clock.Real{}
	owner := entrypeer.NewOwner(s.Instance, clk.Now())
	connection := platform.NewStore(s.Store, scope)
	directStore := store.NewGuard(store.NewRetrying(store.NewHedged(connection, clk), clk), func(partition string, unavailable bool, err error) {
		p.log.Info("availability of the store by the direct connection changed", "partition", partition, "away", unavailable, "err", err)
	})
	directory := entrypeer.NewDirectory(entrypeer.Instance{Name: s.Instance, Owner: owner, Address: s.Peer, DataCentre: s.DataCentre}, clk)
	peers := entrypeer.NewClient(directory, scope)
	relay := entrypeer.NewRelay(directStore, peers)
	current, list := &route.Current{}, membership.NewList()
	guard := store.NewGuard(relay, func(partition string, unavailable bool, err error) {
		p.log.Info("store", "partition", partition, "away", unavailable, "err", err)
		switch {
		case unavailable && partition == store.AllPartitions:
			list.StoreUnavailable()
		case partition == store.AllPartitions:
			list.StoreAvailable(clk.Now())
		}
	})
	f := &front{process: p, list: list, picker: balance.NewPicker(clk), client: upstream.NewClient(), owner: owner, directory: directory, directStore: directStore, store: guard, unhedgedStore: connection, routes: current, shutdown: shutdown.New(s.Grace, clk)}
	f.picker.PreferOpenConnections(f.client.HasIdleConn)
	f.writesCheckpoints = func() bool {
		ranked := peers.Homes(checkpointRanking, false)
		return slices.Contains(ranked[:min(len(ranked), checkpointWriters)], peers.Self())
	}
	f.accounts = account.NewManager(guard, owner, peers, peers, clk, p.log, scope)
	f.accounts.UseWitnesses(peers)
	f.accounts.LimitPrograms(int(programMemoryShare * float64(s.Memory) / programMemory))
	turns := archive.New(guard, peers, s.RowBytes, int(turnCacheShare*float64(s.Memory)), p.log, scope)
	f.quotas = quota.NewLimiter(peers, s.Tolerance, clk, p.log, scope)
	tables := entrypeer.NewTableReader(guard, peers, clk, p.log, scope)
	f.endpoints = discovery.NewFollower(tables, discovery.Endpoints(platform.EndpointTable, platform.DecodeEndpoint, list, f.dropConnections, clk, p.log), clk, p.log, scope)
	f.versions = discovery.NewVersions(list, f.endpoints, guard, platform.DecodeEndpoint, clk, p.log)
	f.origins = resumption.NewRegistry(resumption.NewRecords(clk), peers, f.versions, scope)
	f.guard = quarantine.NewGuard(quarantine.NewRecords(clk), peers, list.Presence, clk, p.log, scope)
	f.crashes = discovery.NewCrashes(f.guard, guard, s.Instance, clk, p.log)
	f.crashTable = discovery.NewFollower(tables, f.crashes.Source(), clk, p.log, scope)
	loads := overload.NewMeter(clk)
	controller := overload.NewController(loads, fleetSize{endpoints: list, instances: directory}, f.accounts, clk, rand.Float64)
	rejected := scope.Counter("overload_rejected")
	f.peers = &entrypeer.Server{Crashes: f.guard, Client: peers, Programs: controller, Loads: loads, Rejected: rejected, Store: directStore, Lender: f.accounts, Witness: f.accounts, Turns: turns, Quotas: f.quotas, Origins: f.origins, Directory: directory, Log: p.log}
	self, _ := directory.Members()
	f.gateway = gateway.New(gateway.Config{
		Instance: self, DataCentre: s.DataCentre, Dialect: platform.Dialect{}, Routes: current, Endpoints: list, Picker: f.picker, Upstream: f.client,
		Accounts:    f.accounts,
		Archive:     turns,
		Origins:     f.origins,
		Crashes:     f.guard,
		Quotas:      f.quotas,
		Programs:    overload.NewAdmitter(controller, loads, peers.ProgramPeers(loads, rejected, p.log), scope),
		Loads:       loads,
		StoreStatus: storeStatus{store: guard, directory: directory},
		Shutdown:    f.shutdown, Clock: clk, Log: p.log, Metrics: scope,
	})
	f.configuration = discovery.NewFollower(tables, discovery.Configuration(platform.ConfigurationKey, platform.DecodeConfiguration, current, p.log), clk, p.log, scope)
	f.instances = discovery.NewFollower(tables, directory.Source(p.log), clk, p.log, scope)
	f.peers.Tables = map[string]*feed.Replica{}
	for _, follower := range []*discovery.Follower{f.configuration, f.endpoints, f.instances, f.crashTable} {
		f.peers.Tables[follower.TableName()] = follower.Table()
	}
	return f
}

// dropConnections closes the idle connections to an endpoint that was restarted.
func (f *front) dropConnections(endpoint *membership.Endpoint) { f.client.CloseIdle(endpoint.Address) }

// fleetSize implements overload.Fleet.
type fleetSize struct {
	endpoints *membership.List
	instances *entrypeer.Directory
}

// Instances implements overload.Fleet.
func (size fleetSize) Instances() int { return size.instances.Len() + 1 }

// Slots implements overload.Fleet.
func (size fleetSize) Slots(service string) int {
	slots := 0
	for _, endpoint := range size.endpoints.Service(service) {
		slots += max(endpoint.Slots, 1)
	}
	return slots
}

// storeStatus implements gateway.StoreStatus.
type storeStatus struct {
	store     *store.Guard
	directory *entrypeer.Directory
}

// Unavailable implements gateway.StoreStatus. It reports whether the store is unavailable
// by every route.
func (d storeStatus) Unavailable() bool { return d.store.AllUnavailable() }

// Slow implements gateway.StoreStatus. It reports whether the store responds more
// slowly than usual, or not at all at the moment.
func (d storeStatus) Slow() bool { return d.store.Slow() }

// Isolated implements gateway.StoreStatus. It reports whether no other instance
// was reachable recently.
func (d storeStatus) Isolated() bool { return d.directory.Isolated() }

// serve starts the servers of callers, of readiness checks and of other
// instances, and returns. When ctx ends, the callers' server drains, the state of
// the instance is released, and end is called, which is to end workCtx and thus
// the other servers. It returns an error if an address cannot be listened on.
func (f *front) serve(ctx, workCtx context.Context, s *platform.Settings, end context.CancelFunc) error {
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
	sockets := connlimit.Descriptors(s.Descriptors)
	p.goroutine(workCtx, serveUntil(ready, f.gateway.ReadyHandler(), p.limiter("ready", checkMemoryShare, s.Memory, maxCheckConns), p.log))
	p.goroutine(workCtx, serveUntil(peers, f.peers.Handler(), p.limiter("peers", peerMemoryShare, s.Memory, int(peerConnShare*float64(sockets))), p.log))
	callerLimiter := connlimit.New(connlimit.Config{Name: "callers", Memory: int64(callerMemoryShare * float64(s.Memory)), Connections: int(callerConnShare * float64(sockets)),
		HeadBytes: f.maxHeaderBytes, Log: p.log, Metrics: p.metrics.Scope()})
	server := gateway.NewServer(f.gateway, p.log)
	p.goroutine(ctx, func(ctx context.Context, done chan<- error) {
		defer context.AfterFunc(ctx, func() {
			f.gateway.Drain()
			f.accounts.StopWitnessing()
			p.log.Info("draining", "in_flight", f.gateway.InFlight(), "accept_until", f.shutdown.AcceptUntil(), "respond_until", f.shutdown.RespondUntil())
		})()
		served := make(chan error, 1)
		server.Serve(ctx, connlimit.NewListener(callers, callerLimiter), f.shutdown, served)
		f.releaseState()
		end()
		done <- <-served
	})
	return nil
}

// maxHeaderBytes returns the configured limit on the header of a request, 0 if there is none.
func (f *front) maxHeaderBytes() int64 {
	if table := f.routes.Load(); table != nil {
		return table.Limits().HeaderBytes
	}
	return 0
}

// releaseState releases the quotas and budgets that this instance holds and
// removes its entry, so that other instances take over its programs. While the
// store is unavailable it retries within the limits of the shutdown. Tokens that are
// not released count as spent, for the instance's programs and for new ones.
func (f *front) releaseState() {
	f.shutdown.Begin() // the listener may have failed
	releaseCtx, cancelRelease := context.WithDeadline(context.Background(), f.shutdown.ReleaseUntil())
	defer cancelRelease()
	f.quotas.Stop(releaseCtx)
	for {
		err := f.accounts.Stop(releaseCtx)
		if err == nil {
			break
		}
		if !clock.Sleep(releaseCtx, releaseRetryInterval) {
			f.process.log.Warn("budgets not released before the deadline: their tokens count as spent", "err", err)
			break
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), f.shutdown.LeaveUntil())
	defer cancel()
	if err := f.directory.Leave(ctx, f.store); err != nil {
		f.process.log.Warn("own entry not removed: other instances detect the stop when their requests fail", "err", err)
	}
}

// serveUntil returns a function that serves handler on listener until its context
// ends, and then closes all connections, also of requests in flight. They must
// not complete: tokens granted to another instance after this one has released
// its state would belong to no instance that could release them.
func serveUntil(listener net.Listener, handler http.Handler, limiter *connlimit.Limiter, log *slog.Logger) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		srv := connlimit.NewServer(logging.LogPanics(handler, log), log)
		ended := make(chan error, 1)
		go func() { ended <- srv.Serve(connlimit.NewListener(listener, limiter)) }()
		<-ctx.Done()
		_ = srv.Close()
		done <- <-ended
	}
}

// maintain periodically drops endpoints that did not register again after an
// outage of the store, idle connections, and the records of incarnations of
// endpoints that are no longer listed, until ctx ends.
func (f *front) maintain(ctx context.Context, done chan<- error) {
	clock.Every(ctx, maintenanceInterval, func(now time.Time) {
		for _, id := range f.list.Expire(now) {
			f.process.log.Info("endpoint dropped: it did not register again after the store recovered", "endpoint", id)
		}
		f.client.CloseExpired()
		f.picker.Retain(f.list.HasIncarnation)
	}, done)
}

// watchSettings loads the settings file on SIGHUP and when its modification time
// changes, and logs differences from current, until ctx ends. Changes are not
// applied: everything that may change in a running process is read from the
// store.
func watchSettings(ctx context.Context, path string, current *platform.Settings, hangups <-chan os.Signal, log *slog.Logger, done chan<- error) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modified := time.Time{}
	for {
		select {
		case <-ctx.Done():
			done <- nil
			return
		case <-hangups:
			log.Info("settings reload requested by SIGHUP")
		case <-ticker.C:
			info, err := os.Stat(path)
			if err != nil || info.ModTime().Equal(modified) {
				continue
			}
			modified = info.ModTime()
		}
		next, err := platform.LoadSettings(path)
		if err != nil {
			log.Error("settings refused: the previous settings remain in force", "err", err)
			continue
		}
		if *next != *current {
			log.Info("settings changed", "from", *current, "to", *next)
			current = next
		}
	}
}
