package store

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxNameBytes is the longest ID used as a row name unchanged, in bytes. The
// store accepts names of 200 bytes.
const maxNameBytes = 120

// Name returns the row name for an ID supplied by a caller: the ID itself, or
// "sha256." and its hash if it is empty, longer than maxNameBytes or has
// characters other than ASCII letters, digits, '-' and '_'.
func Name(id string) string {
	isPlain := id != "" && len(id) <= maxNameBytes
	for i := 0; isPlain && i < len(id); i++ {
		c := id[i]
		isPlain = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
	}
	if isPlain {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256." + hex.EncodeToString(sum[:])
}
