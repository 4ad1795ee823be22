// Package connlimit bounds what clients can make a process hold: open
// connections, the requests that they send, and what is built of these.
//
// A Limiter is charged before memory is spent. When its memory is used, it closes
// the connections that hold most without having sent a whole request, and when it
// has as many connections as it may, the one that has waited longest for a
// request. Clients that send ordinary requests are thus served while others only
// hold connections. A request whose processing has begun is never ended.
package connlimit
