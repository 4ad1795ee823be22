package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// ALPN is the application protocol name that both ends of a peer connection
// announce. The handshake with a peer of another version fails.
const ALPN = "wagtaildrum-peer/1"

// serverTLS returns a TLS configuration with a new self-signed certificate.
// Each start generates its own because instances store nothing on disk.
func serverTLS() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate peer key")
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: "wagtaildrum"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(365 * 24 * time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create peer certificate")
	}
	cert := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: []string{ALPN}, MinVersion: tls.VersionTLS13}, nil
}

// clientTLS returns a TLS configuration that accepts any server certificate.
// Authentication of peers is left to the platform's network; docs/DESIGN.md
// lists pinning of certificates published in the platform's table as missing.
func clientTLS() *tls.Config {
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{ALPN}, MinVersion: tls.VersionTLS13} //nolint:gosec // see doc comment
}
