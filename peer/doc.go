// Package peer implements the protocol between wagtaildrum's processes. An entry
// instance sends a Call to the sidecar of an endpoint, or to another entry
// instance, and receives a reply of one or more Frames. Each call has its own
// QUIC stream, on which the messages are consecutive CBOR values.
//
// QUIC keep-alives and IdleTimeout detect a connection whose remote end no
// longer responds. The connection is then closed and the next call to the
// address dials a new one; calls on other connections are not affected.
package peer
