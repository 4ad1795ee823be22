//go:build review

package main

import (
	"io"
	"net"
	"sync"

	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
)

// gate passes TCP connections on to a target until it is cut: then it resets them and
// refuses new ones.
type gate struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// newGate returns an open gate on a free loopback address.
func newGate(target string) (*gate, error) {
	address, err := platformtest.FreeAddress()
	if err != nil {
		return nil, err
	}
	g := &gate{address: address, target: target, conns: map[net.Conn]bool{}}
	return g, g.open()
}

// open accepts connections from now on.
func (g *gate) open() error {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.listener = listener
	g.mu.Unlock()
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return // cut
			}
			go g.pass(near)
		}
	}()
	return nil
}

// pass passes one connection on.
func (g *gate) pass(near net.Conn) {
	defer func() { _ = near.Close() }() // may be closed by cut
	far, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }() // may be closed by cut
	g.mu.Lock()
	g.conns[near], g.conns[far] = true, true
	g.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(way[0], way[1]) // ends with either connection
			done <- struct{}{}
		}()
	}
	<-done
	g.mu.Lock()
	delete(g.conns, near)
	delete(g.conns, far)
	g.mu.Unlock()
}

// cut resets all connections and refuses new ones.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close() // the port is refused from now on
	for conn := range g.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
