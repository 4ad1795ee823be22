package engine

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/program"
)

// TokenizePrompt returns the prompt tokens of messages: for each message its
// role marker followed by the tokens of its content.
func TokenizePrompt(messages []program.Message) []string {
	var tokens []string
	for _, m := range messages {
		tokens = append(tokens, m.Role+":")
		tokens = append(tokens, Tokenize(m.Content)...)
	}
	return tokens
}

// BlockHashes returns the hashes of the full blocks of blockTokens tokens each;
// a partial last block has none. The hash of a block covers all tokens from the
// start of the prompt to the end of the block: two prompts have a block hash in
// common only if they are equal up to the end of the block. Engines identify
// the blocks of their prefix cache by these hashes in cache events.
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
