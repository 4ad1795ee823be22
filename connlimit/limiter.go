package connlimit

import (
	"container/list"
	"log/slog"
	"math/bits"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// slackShare is the part of the limit by which memory may exceed it while evicted
	// holders end.
	slackShare = 1.0 / 8
	// ordinaryShare is the part of the limit that only holders of the lowest class may use,
	// so that large requests and responses leave room for ordinary ones.
	ordinaryShare = 1.0 / 6
	// lingerShare is the number of connections that may linger, as a part of the limit on
	// connections.
	lingerShare = 1.0 / 8
	// classBits is the binary logarithm of the memory that a holder of the lowest class
	// has at most: a connection with an ordinary request.
	classBits = 17
	// classes is the number of classes of holders by memory; each holds up to twice
	// as much as the one before.
	classes = 12
	// logInterval and logBurst bound the log lines of a Limiter.
	logInterval = time.Second
	logBurst    = 20
)

// Config holds the limits of a Limiter. A limit of 0 means none.
type Config struct {
	// Name identifies what the Limiter is for, in metrics and logs.
	Name string
	// Memory is the most memory, in bytes, that clients may make the process hold.
	Memory int64
	// Connections is the maximum number of open connections.
	Connections int
	// HeadBytes returns the maximum size of a request's head; nil for
	// DefaultHeadBytes.
	HeadBytes func() int64
	// WriteTimeout bounds each write to a connection, whose client may not read; 0 for
	// listeners whose handlers set deadlines.
	WriteTimeout time.Duration
	Log          *slog.Logger
	Metrics      tally.Scope
}

// DefaultHeadBytes is the maximum size of a request's head unless configured.
const DefaultHeadBytes = 64 << 10

// Limiter bounds the memory and the connections of the clients of one or more listeners. It is
// safe for concurrent use.
type Limiter struct {
	config  Config
	metrics metrics
	logs    *rate.Limiter

	mu sync.Mutex
	// used is the memory charged, of which that of evicted holders is closing.
	used, closing int64
	// evictable is the memory of the holders in waiting, by class.
	evictable [classes]int64
	// conns is the number of open connections that were not evicted.
	conns int
	// waiting lists the holders that may be evicted by class, and waitingConns those of
	// connections, the oldest first.
	waiting      [classes]list.List
	waitingConns list.List
	// queue lists the reservations that wait for room, of type *reservation, the oldest first.
	queue list.List
	// lingering lists the connections that linger, of type *Conn, the oldest first.
	lingering list.List
	// evicted counts the holders that were evicted, and refused the connections and
	// reservations for which there was no room.
	evicted, refused int64
}

// metrics holds the metrics of a Limiter.
type metrics struct {
	evicted, refused, oversized tally.Counter
	memory, conns               tally.Gauge
}

// New returns a Limiter with the given limits.
func New(config Config) *Limiter {
	scope := config.Metrics.Tagged(map[string]string{"listener": config.Name})
	return &Limiter{config: config, logs: rate.NewLimiter(rate.Every(logInterval), logBurst), metrics: metrics{
		evicted: scope.Counter("clients_evicted"), refused: scope.Counter("clients_refused"), oversized: scope.Counter("client_heads_oversized"),
		memory: scope.Gauge("client_memory_bytes"), conns: scope.Gauge("client_connections"),
	}}
}

// Used returns the memory charged, in bytes.
func (limiter *Limiter) Used() int64 {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	return limiter.used
}

// reserve charges n bytes to holder if they are within the limit, for which it evicts holders. It
// reports whether there was room for them and holder was not evicted. If force is set, it charges
// them in any case.
func (limiter *Limiter) reserve(n int64, holder *Holder, force bool) bool {
	limiter.mu.Lock()
	victims := limiter.makeRoom(n, holder.held, holder)
	ok := !holder.evicted && limiter.fits(n, holder.held)
	if (ok || force) && !holder.ended {
		limiter.charge(holder, n)
	}
	limiter.mu.Unlock()
	limiter.end(victims, !ok && n > 0)
	return ok
}

// charge charges n bytes, which may be negative, to holder.
func (limiter *Limiter) charge(holder *Holder, n int64) {
	limiter.used += n
	if holder.evicted {
		limiter.closing += n
	}
	limiter.setHeld(holder, holder.held+n)
	if n < 0 {
		limiter.grant()
	}
}

// limits returns the memory that may be used for a holder of a class, once evicted holders have
// ended and until then. Only holders of the lowest class may use the slack, so that ordinary
// requests do not wait for the memory of large ones.
func (limiter *Limiter) limits(class int) (limit, withClosing int64) {
	limit = limiter.config.Memory
	if class > 0 {
		limit -= int64(ordinaryShare * float64(limit))
		return limit, limit
	}
	return limit, limit + int64(slackShare*float64(limit))
}

// fits reports whether there is room for n more bytes for a holder that has held bytes.
func (limiter *Limiter) fits(n, held int64) bool {
	limit, withClosing := limiter.limits(classOf(held + n))
	return limiter.config.Memory <= 0 || limiter.used-limiter.closing+n <= limit && limiter.used+n <= withClosing
}

// makeRoom evicts holders until there is room for n more bytes for holder, which has held bytes
// and may be nil, or it is evicted itself. It returns them. None is of a lower class than the holder
// will be, and none is evicted if evicting all of them would not suffice.
func (limiter *Limiter) makeRoom(n, held int64, holder *Holder) []*Holder {
	lowest := classOf(held + n)
	limit, _ := limiter.limits(lowest)
	missing := limiter.used - limiter.closing + n - limit
	if limiter.config.Memory <= 0 || missing <= 0 || missing > limiter.evictableFrom(lowest) {
		return nil
	}
	var victims []*Holder
	for limiter.used-limiter.closing+n > limit && (holder == nil || !holder.evicted) {
		victim := limiter.largest(lowest)
		if victim == nil {
			break
		}
		limiter.evict(victim)
		victims = append(victims, victim)
	}
	return victims
}

// evictableFrom returns the memory of the holders that may be evicted of the lowest class and those
// above.
func (limiter *Limiter) evictableFrom(lowest int) int64 {
	sum := int64(0)
	for _, held := range limiter.evictable[lowest:] {
		sum += held
	}
	return sum
}

// largest returns the holder that has most of those that may be evicted, the oldest of its class, or
// nil if there is none of the lowest class or above.
func (limiter *Limiter) largest(lowest int) *Holder {
	for class := classes - 1; class >= lowest; class-- {
		if oldest := limiter.waiting[class].Front(); oldest != nil {
			return oldest.Value.(*Holder)
		}
	}
	return nil
}

// evict evicts a holder. The caller passes it to end after it has unlocked the Limiter.
func (limiter *Limiter) evict(victim *Holder) {
	limiter.leave(victim)
	victim.evicted = true
	limiter.closing += victim.held
	if victim.isConn {
		limiter.conns--
	}
}

// addLingering adds a connection that lingers until the returned function is called. It closes the
// oldest one if there are too many, so that they do not use up the descriptors of the process.
func (limiter *Limiter) addLingering(conn *Conn) (remove func()) {
	limiter.mu.Lock()
	element := limiter.lingering.PushBack(conn)
	var oldest *Conn
	if limit := limiter.config.Connections; limit > 0 && limiter.lingering.Len() > max(1, int(lingerShare*float64(limit))) {
		oldest = limiter.lingering.Remove(limiter.lingering.Front()).(*Conn)
	}
	limiter.mu.Unlock()
	if oldest != nil {
		_ = oldest.Conn.Close()
	}
	return func() {
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		limiter.lingering.Remove(element)
	}
}

// end ends evicted holders, and counts and logs them and what was refused.
func (limiter *Limiter) end(victims []*Holder, refused bool) {
	if len(victims) == 0 && !refused {
		return
	}
	for _, victim := range victims {
		limiter.metrics.evicted.Inc(1)
		victim.abort()
	}
	limiter.mu.Lock()
	limiter.evicted += int64(len(victims))
	if refused {
		limiter.refused++
	}
	used, conns, totalEvicted, totalRefused := limiter.used, limiter.conns, limiter.evicted, limiter.refused
	limiter.mu.Unlock()
	if refused {
		limiter.metrics.refused.Inc(1)
	}
	if limiter.logs.Allow() {
		limiter.config.Log.Warn("no room for clients: connections closed or requests refused", "listener", limiter.config.Name, "memory", used, "memory_limit", limiter.config.Memory,
			"connections", conns, "connection_limit", limiter.config.Connections, "closed", totalEvicted, "refused", totalRefused)
	}
}

// report updates the gauges.
func (limiter *Limiter) report(used int64, conns int) {
	limiter.metrics.memory.Update(float64(used))
	limiter.metrics.conns.Update(float64(conns))
}

// Holder is a connection or a part of one that memory is charged to. It may be evicted while it
// waits for the rest of a request.
type Holder struct {
	limiter *Limiter
	abort   func()
	isConn  bool
	// The following fields are guarded by the Limiter's mutex. element is the holder's
	// element in the list of class, nil while it can't be evicted, and connElement that in
	// the list of connections, in which it is since then.
	held                 int64
	class                int
	element, connElement *list.Element
	since                time.Time
	evicted              bool
	ended                bool
}

// NewHolder returns a holder that has n bytes and is not waiting. It returns nil if there is no
// room for them. abort is called, at most once, if the holder is evicted; it must make the owner
// call End.
func (limiter *Limiter) NewHolder(n int64, abort func()) *Holder {
	holder := &Holder{limiter: limiter, abort: abort}
	if !limiter.reserve(n, holder, false) {
		return nil
	}
	return holder
}

// NewConn is NewHolder for a connection, one of those that the Limiter bounds.
func (limiter *Limiter) NewConn(n int64, abort func()) *Holder {
	return limiter.newConn(n, abort, false)
}

// newConn is NewConn for a connection that waits for a request if waits is set. abort may then be
// called before it has returned.
func (limiter *Limiter) newConn(n int64, abort func(), waits bool) *Holder {
	holder := &Holder{limiter: limiter, abort: abort, isConn: true}
	limiter.mu.Lock()
	var victims []*Holder
	if limit := limiter.config.Connections; limit > 0 && limiter.conns >= limit {
		if oldest := limiter.waitingConns.Front(); oldest != nil {
			victim := oldest.Value.(*Holder)
			limiter.evict(victim)
			victims = append(victims, victim)
		}
	}
	victims = append(victims, limiter.makeRoom(n, 0, nil)...)
	ok := limiter.fits(n, 0) && (limiter.config.Connections <= 0 || limiter.conns < limiter.config.Connections)
	if ok {
		limiter.used += n
		limiter.conns++
		holder.held = n
		if waits {
			limiter.enter(holder)
		}
	}
	used, conns := limiter.used, limiter.conns
	limiter.mu.Unlock()
	limiter.report(used, conns)
	limiter.end(victims, !ok)
	if !ok {
		return nil
	}
	return holder
}

// untilRoom returns the time until there is room for a connection or the oldest that waits has
// waited for minWait, 0 if none waits.
func (limiter *Limiter) untilRoom(now time.Time) time.Duration {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	oldest := limiter.waitingConns.Front()
	if limit := limiter.config.Connections; limit <= 0 || limiter.conns < limit || oldest == nil {
		return 0
	}
	return max(0, minWait-now.Sub(oldest.Value.(*Holder).since))
}

// Reserve charges n bytes to the holder, or returns false if there is no room or the holder was
// evicted.
func (holder *Holder) Reserve(n int64) bool { return holder.limiter.reserve(n, holder, false) }

// Charge charges n bytes, which may be negative, to the holder. It reports whether there is room
// for them.
func (holder *Holder) Charge(n int64) bool { return holder.limiter.reserve(n, holder, true) }

// Wait allows the holder to be evicted from now on, unless it was before.
func (holder *Holder) Wait() {
	holder.limiter.mu.Lock()
	defer holder.limiter.mu.Unlock()
	if holder.element == nil && !holder.evicted && !holder.ended {
		holder.limiter.enter(holder)
	}
}

// Proceed keeps the holder from being evicted. It returns false if it was evicted before.
func (holder *Holder) Proceed() bool {
	holder.limiter.mu.Lock()
	defer holder.limiter.mu.Unlock()
	if holder.element != nil {
		holder.limiter.leave(holder)
	}
	return !holder.evicted
}

// ReleaseTo frees what the holder has above n bytes.
func (holder *Holder) ReleaseTo(n int64) {
	holder.limiter.mu.Lock()
	defer holder.limiter.mu.Unlock()
	if freed := holder.held - n; freed > 0 && !holder.ended {
		holder.limiter.charge(holder, -freed)
	}
}

// IsEvicted reports whether the holder was evicted.
func (holder *Holder) IsEvicted() bool {
	holder.limiter.mu.Lock()
	defer holder.limiter.mu.Unlock()
	return holder.evicted
}

// End frees what the holder has. Further calls have no effect.
func (holder *Holder) End() {
	limiter := holder.limiter
	limiter.mu.Lock()
	if holder.ended {
		limiter.mu.Unlock()
		return
	}
	if holder.element != nil {
		limiter.leave(holder)
	}
	held := holder.held
	holder.ended = true
	limiter.charge(holder, -held)
	if holder.isConn && !holder.evicted {
		limiter.conns--
	}
	used, conns := limiter.used, limiter.conns
	limiter.mu.Unlock()
	limiter.report(used, conns)
}

// setHeld sets the memory of a holder and moves it to the class for that.
func (limiter *Limiter) setHeld(holder *Holder, held int64) {
	if holder.element == nil {
		holder.held = held
		return
	}
	limiter.evictable[holder.class] -= holder.held
	holder.held = held
	if class := classOf(held); class != holder.class {
		limiter.waiting[holder.class].Remove(holder.element)
		holder.class, holder.element = class, limiter.waiting[class].PushBack(holder)
	}
	limiter.evictable[holder.class] += held
}

// enter adds a holder to those that may be evicted.
func (limiter *Limiter) enter(holder *Holder) {
	holder.class = classOf(holder.held)
	holder.element = limiter.waiting[holder.class].PushBack(holder)
	limiter.evictable[holder.class] += holder.held
	if holder.isConn {
		holder.since = time.Now()
		holder.connElement = limiter.waitingConns.PushBack(holder)
	}
}

// leave removes a holder from those that may be evicted.
func (limiter *Limiter) leave(holder *Holder) {
	limiter.waiting[holder.class].Remove(holder.element)
	holder.element = nil
	limiter.evictable[holder.class] -= holder.held
	if holder.isConn {
		limiter.waitingConns.Remove(holder.connElement)
	}
}

// classOf returns the class of a holder of the given memory.
func classOf(held int64) int { return min(bits.Len64(uint64(held)>>classBits), classes-1) }
