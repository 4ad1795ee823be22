package entrypeer

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/discovery"
	"github.com/wagtaildrum/wagtaildrum/retry"
	"github.com/wagtaildrum/wagtaildrum/store"
)

const (
	// table holds a row for each entry instance.
	table = "entries"
	// failurePause is how long an instance that could not be reached is left
	// out, doubled with each failure in a row up to maxFailurePause: the row
	// of one that is gone for good stays.
	failurePause    = time.Second
	maxFailurePause = 16 * time.Second
	// isolatingFailures is how many other instances cannot be reached, with no
	// answer in between, before this one counts as cut off. One at a time ends
	// or starts again.
	isolatingFailures = 2
	// stopTime is how long an instance that stops is left out: some eight
	// seconds, after which it has left, or has started again and entered
	// itself anew.
	stopTime = 8 * time.Second
	// storelessTime is how long an instance that could not serve a relayed call of
	// the store is asked last: outages last seconds.
	storelessTime = time.Second
	// joinPause and maxJoinPause are between tries to enter the table.
	joinPause = 100 * time.Millisecond
	// watchWait is how long a call for news of other instances is held. An
	// instance that is missed for some seconds is one fewer to ask.
	watchWait = 8 * time.Second
	// gatherTime is how long news of other instances is gathered. One that
	// starts again has the name and the address that it had, so that it is
	// reached meanwhile; 84 that start within a fifth of a second are then
	// read in some eight calls by each, not in 84.
	gatherTime   = 300 * time.Millisecond
	maxJoinPause = time.Second
)

// Instance is an entry instance as it stands in the table.
type Instance struct {
	// Name is the machine's; a restarted instance takes the row over.
	Name string `cbor:"-"`
	// Owner is new with each start: budget accounts are named after it.
	Owner string `cbor:"o"`
	// Address serves the calls of this package.
	Address    string `cbor:"a"`
	DataCentre string `cbor:"d"`
}

// Directory knows the other entry instances. It is safe for concurrent use.
type Directory struct {
	self  Instance
	clock clock.Clock

	mu        sync.Mutex
	instances map[string]Instance
	avoid     map[string]absence
	// displaced is told when the own row was found to be another's.
	displaced chan struct{}
	// unreached are the instances that could not be reached since any last
	// answered.
	unreached map[string]struct{}
	// storeless are the instances that could not serve a relayed call, until when
	// they are asked last; way is the one that last served one.
	storeless map[string]time.Time
	way       string
	// changed is when an instance last joined, left or started again.
	changed time.Time
	// joined is when each instance was first known in its present start.
	joined map[string]time.Time
}

// absence is an instance that could not be reached.
type absence struct {
	until    time.Time
	failures int
	// stopping instances still answer, but lend nothing.
	stopping bool
}

// NewDirectory returns a directory that knows only self.
func NewDirectory(self Instance, clk clock.Clock) *Directory {
	return &Directory{self: self, clock: clk, instances: map[string]Instance{}, avoid: map[string]absence{}, unreached: map[string]struct{}{}, storeless: map[string]time.Time{}, displaced: make(chan struct{}, 1), changed: clk.Now(), joined: map[string]time.Time{}}
}

func (directory *Directory) key() store.Key {
	return store.Key{Table: table, Name: store.Name(directory.self.Name)}
}

// Join enters this instance into the table, and again when an earlier start
// of it is found there: a write of that one whose answer was lost may be
// applied seconds later. Without that nobody would find the holder of this
// start's budget accounts. It goes on until ctx ends, then reports on done.
func (directory *Directory) Join(s store.Store, log *slog.Logger) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		defer func() { done <- nil }()
		value, err := codec.Marshal(&directory.self)
		if err != nil {
			log.Error("own entry cannot be encoded: other instances will not find this one", "err", err)
			return
		}
		backoff := retry.Backoff{First: joinPause, Most: maxJoinPause}
		for {
			_, err := s.Commit(ctx, store.Transaction{Puts: []store.Put{{Key: directory.key(), Value: value}}})
			if err == nil {
				log.Info("joined the other instances", "address", directory.self.Address, "owner", directory.self.Owner)
				backoff = retry.Backoff{First: joinPause, Most: maxJoinPause}
				select {
				case <-ctx.Done():
					return
				case <-directory.displaced:
					continue
				}
			}
			log.Warn("not joined yet", "err", err)
			if !clock.Sleep(ctx, joinPause/2+backoff.Next()) {
				return
			}
		}
	}
}

// Leave takes this instance out of the table.
func (directory *Directory) Leave(ctx context.Context, s store.Store) error {
	_, err := s.Commit(ctx, store.Transaction{Deletes: []store.Key{directory.key()}})
	return err
}

// Source returns the table to follow.
func (directory *Directory) Source(log *slog.Logger) discovery.Source {
	return discovery.Source{Table: table, Wait: watchWait, Gather: gatherTime, Lost: func() {}, Back: func() {}, Apply: func(row store.Row) { directory.apply(row, log) }, Whole: func(rows []store.Row) {
		directory.mu.Lock()
		clear(directory.instances)
		directory.mu.Unlock()
		for _, row := range rows {
			directory.apply(row, log)
		}
	}}
}

// Members implements account.Members.
func (directory *Directory) Members() (self string, all []string) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	self = directory.key().Name
	return self, append(slices.Collect(maps.Keys(directory.instances)), self)
}

func (directory *Directory) apply(row store.Row, log *slog.Logger) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if row.Removed {
		delete(directory.instances, row.Key.Name)
		delete(directory.joined, row.Key.Name)
		delete(directory.storeless, row.Key.Name)
		directory.changed = directory.clock.Now()
		return
	}
	var instance Instance
	if err := codec.Unmarshal(row.Value, &instance); err != nil {
		log.Error("entry of an instance refused", "instance", row.Key.Name, "err", err)
		return
	}
	instance.Name = row.Key.Name
	switch {
	case instance.Owner == directory.self.Owner:
	case instance.Name == directory.key().Name:
		select {
		case directory.displaced <- struct{}{}:
		default: // told already
		}
	default:
		if directory.instances[row.Key.Name] != instance {
			delete(directory.avoid, row.Key.Name) // started anew
			directory.changed = directory.clock.Now()
			directory.joined[row.Key.Name] = directory.changed
		}
		directory.instances[row.Key.Name] = instance
	}
}

// Meet takes in an instance that calls, unless a later start of it is known.
func (directory *Directory) Meet(instance Instance) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	called, ok := parseOwner(instance.Owner)
	if !ok || instance.Name == directory.key().Name {
		return
	}
	known, isKnown := directory.instances[instance.Name]
	if current, ok := parseOwner(known.Owner); isKnown && ok && current.began >= called.began {
		return
	}
	delete(directory.avoid, instance.Name)
	directory.instances[instance.Name] = instance
	directory.changed = directory.clock.Now()
	directory.joined[instance.Name] = directory.changed
}

// owning returns the instance that owns a budget account, whether or not it
// answered of late: what it holds cannot be had in another way, and it may only
// have waited for the store.
func (directory *Directory) owning(account string) (Instance, bool) {
	owner := accountOwner(account)
	directory.mu.Lock()
	defer directory.mu.Unlock()
	for _, instance := range directory.instances {
		if instance.Owner == owner {
			return instance, true
		}
	}
	return Instance{}, false
}

// present returns the instance of a name unless it is left out.
func (directory *Directory) present(name string) (Instance, bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	instance, ok := directory.instances[name]
	return instance, ok && !directory.left(name, directory.clock.Now())
}

// some returns up to n other instances to relay a call of the store: first the one
// that last served one, then those of the own data centre, in random order, and
// last those that could not of late.
func (directory *Directory) some(n int) []Instance {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	var all []Instance
	for _, instance := range directory.instances {
		if !directory.left(instance.Name, now) {
			all = append(all, instance)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	rank := func(instance Instance) int {
		switch {
		case now.Before(directory.storeless[instance.Name]):
			return 3
		case instance.Name == directory.way:
			return 0
		case instance.DataCentre == directory.self.DataCentre:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(all, func(a, b Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:min(n, len(all))]
}

// relayed notes whether an instance served a relayed call of the store.
func (directory *Directory) relayed(instance Instance, served bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if served {
		directory.way = instance.Name
		delete(directory.storeless, instance.Name)
		return
	}
	directory.storeless[instance.Name] = directory.clock.Now().Add(storelessTime)
}

// left reports whether an instance is left out. The caller holds mu.
func (directory *Directory) left(name string, now time.Time) bool {
	return now.Before(directory.avoid[name].until)
}

// failed leaves an instance out for a while, and longer each time if it could
// not be reached at all. One that was too late is tried again after the first
// pause: in an outage all instances wait for the store, and if they left each
// other out for long after it, programs would have accounts everywhere.
func (directory *Directory) failed(instance Instance, late bool) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	absent := directory.avoid[instance.Name]
	if late {
		absent.failures = 0
	}
	absent.until = now.Add(min(failurePause<<min(absent.failures, 10), maxFailurePause))
	absent.failures++
	directory.avoid[instance.Name] = absent
	if !late {
		directory.unreached[instance.Name] = struct{}{}
	}
}

// leaving leaves out an instance that said that it stops, for as long as a
// stop takes.
func (directory *Directory) leaving(instance Instance) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	directory.avoid[instance.Name] = absence{until: directory.clock.Now().Add(stopTime), stopping: true}
}

// reached notes that an instance answered.
func (directory *Directory) reached(instance Instance) {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if !directory.avoid[instance.Name].stopping || !directory.left(instance.Name, directory.clock.Now()) {
		delete(directory.avoid, instance.Name)
	}
	clear(directory.unreached)
}

// Isolated reports whether this instance could reach no other one of late. One
// other alone may have ended, and one that was too late may wait for the store.
func (directory *Directory) Isolated() bool {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	unreached := len(directory.unreached)
	return unreached >= isolatingFailures || unreached > 0 && len(directory.instances) == 1
}
