package engine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// PromptTokenList returns the tokens an engine reads for messages: for each
// message its role marker and its words.
func PromptTokenList(messages []program.Message) []string {
	var toks []string
	for _, m := range messages {
		toks = append(toks, m.Role+":")
		toks = append(toks, Tokens(m.Content)...)
	}
	return toks
}

// BlockHashes returns the hash of each whole block of tokens: a block's
// hash covers every token up to its end, so two prompts share a block hash
// only if they are equal up to there. Engines name the blocks of their
// prefix cache by these hashes in cache events.
func BlockHashes(tokens []string, blockTokens int) []uint64 {
	hashes := make([]uint64, 0, len(tokens)/blockTokens)
	h := xxhash.New()
	for i, tok := range tokens {
		_, _ = h.WriteString(tok)
		_, _ = h.WriteString(" ")
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, h.Sum64())
		}
	}
	return hashes
}
