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

// ALPN is the application protocol name both ends of a peer connection
// announce; a peer speaking another version fails the handshake.
const ALPN = "wagtaildrum-peer/1"

// serverTLS returns a TLS configuration with a fresh self-signed
// certificate. Instances keep nothing on disk, so each start makes its own.
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

// clientTLS accepts any server certificate: peers are authenticated by the
// platform's network today. Pinning certificates published in the platform
// table is listed as missing in docs/DESIGN.md.
func clientTLS() *tls.Config {
	return &tls.Config{InsecureSkipVerify: true, NextProtos: []string{ALPN}, MinVersion: tls.VersionTLS13} //nolint:gosec // see doc comment
}
