package store

import (
	"crypto/sha256"
	"encoding/hex"
)

// maxName bounds a row's name made of a caller's text, in bytes; the store
// takes 200.
const maxName = 120

// Name returns the row name for an ID that comes from a caller: the ID
// itself, or its hash if it is long or holds anything but letters, digits,
// '-' and '_'.
func Name(id string) string {
	plain := id != "" && len(id) <= maxName
	for i := 0; plain && i < len(id); i++ {
		c := id[i]
		plain = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
	}
	if plain {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return "sha256." + hex.EncodeToString(sum[:])
}
