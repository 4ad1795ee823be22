package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes TCP connections on to a target on loopback, and disturbs
// them on request.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
	// delay is added to each way; refuse resets new connections; hold keeps
	// what new connections send.
	delay  time.Duration
	refuse bool
	hold   direction
	ended  sync.WaitGroup
}

// direction is a set of the ways of a connection.
type direction int

// Ways: from whoever connects, and back to it.
const (
	wayNone direction = 0
	wayTo   direction = 1 << iota
	wayBack
	wayBoth = wayTo | wayBack
)

// link is one connection through a proxy.
type link struct {
	near, far net.Conn

	mu sync.Mutex
	// held ways take bytes and pass none on, for good.
	held direction
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	p.ended.Go(p.accept)
	return p, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) accept() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.mu.Lock()
		refuse, held, target := proxy.refuse, proxy.hold, proxy.target
		proxy.mu.Unlock()
		if refuse {
			reset(near)
			continue
		}
		far, err := net.Dial("tcp", target)
		if err != nil {
			reset(near)
			continue
		}
		l := &link{near: near, far: far, held: held}
		proxy.mu.Lock()
		refuse = proxy.refuse // since the connection was accepted
		if !refuse {
			proxy.links[l] = true
		}
		proxy.mu.Unlock()
		if refuse {
			reset(near)
			reset(far)
			continue
		}
		proxy.ended.Go(func() { proxy.pass(l) })
	}
}

// pass moves a link's bytes until either end closes.
func (proxy *proxy) pass(l *link) {
	var ways sync.WaitGroup
	ways.Go(func() { proxy.copy(l, wayTo, l.far, l.near) })
	ways.Go(func() { proxy.copy(l, wayBack, l.near, l.far) })
	ways.Wait()
	_ = l.near.Close()
	_ = l.far.Close()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.links, l)
}

func (proxy *proxy) copy(l *link, way direction, to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			proxy.mu.Lock()
			delay := proxy.delay
			proxy.mu.Unlock()
			time.Sleep(delay)
			if !l.holds(way) {
				if _, werr := to.Write(buf[:n]); werr != nil {
					reset(from)
					return
				}
			}
		}
		switch {
		case err == io.EOF && !l.holds(way):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			// A connection that is cut does not tell its other end.
			if !l.holds(way) {
				reset(to)
			}
			return
		}
	}
}

func (l *link) holds(way direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held&way != 0
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *proxy) each(f func(*link)) {
	proxy.mu.Lock()
	links := make([]*link, 0, len(proxy.links))
	for l := range proxy.links {
		links = append(links, l)
	}
	proxy.mu.Unlock()
	for _, l := range links {
		f(l)
	}
}

// retarget passes new connections on to another target, and resets the open
// ones, as when an address is used again.
func (proxy *proxy) retarget(target string) {
	proxy.mu.Lock()
	proxy.target = target
	proxy.mu.Unlock()
	proxy.resetAll(false)
}

// slow adds d to each way.
func (proxy *proxy) slow(d time.Duration) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.delay = d
}

// silence holds the open connections for good; new ones work.
func (proxy *proxy) silence() {
	proxy.each(func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held = wayBoth
	})
}

// cut holds the given ways of all connections, new ones too, until heal;
// those that are open then stay silent.
func (proxy *proxy) cut(ways direction) {
	proxy.mu.Lock()
	proxy.hold = ways
	proxy.mu.Unlock()
	proxy.each(func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held |= ways
	})
}

// resetAll resets the open connections, and new ones until heal if more.
func (proxy *proxy) resetAll(more bool) {
	proxy.mu.Lock()
	proxy.refuse = more
	proxy.mu.Unlock()
	proxy.each(func(l *link) {
		reset(l.near)
		reset(l.far)
	})
}

// heal lets new connections through undisturbed.
func (proxy *proxy) heal() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.delay, proxy.refuse, proxy.hold = 0, false, wayNone
}

func (proxy *proxy) close() {
	_ = proxy.listener.Close()
	proxy.resetAll(true)
	proxy.ended.Wait()
}
