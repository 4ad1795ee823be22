package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// keySize is the size of a Key in bytes.
const keySize = 16

// Key identifies a request over all its attempts.
type Key [keySize]byte

// String returns the key in hexadecimal.
func (key Key) String() string { return hex.EncodeToString(key[:]) }

// Identity holds what the attempts of a request have in common. Requests of other
// organisations, programs or sessions are different ones, whatever they contain.
type Identity struct {
	// Organisation, Program and Session name the caller's; each may be empty.
	Organisation, Program, Session string
	// Previous is the ID of the turn that the request continues, empty for none.
	Previous string
	// Method, Host and Target are those of the HTTP request.
	Method, Host, Target string
	// Segments are the IDs of the segments of the prompt, in order.
	Segments []string
	Body     []byte
}

// Key returns the key of the request.
func (identity *Identity) Key() Key {
	sum := sha256.New()
	for _, field := range []string{identity.Organisation, identity.Program, identity.Session, identity.Previous, identity.Method, identity.Host, identity.Target} {
		writeField(sum, []byte(field))
	}
	for _, segment := range identity.Segments {
		writeField(sum, []byte(segment))
	}
	writeField(sum, identity.Body)
	return Key(sum.Sum(nil)[:keySize])
}

// writeField adds a field to a hash, preceded by its length, so that no two lists of
// fields have the same encoding.
func writeField(sum hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = sum.Write(length[:]) // writing to a hash cannot fail
	_, _ = sum.Write(field)
}
