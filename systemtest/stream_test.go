package systemtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/engine"
	"github.com/wagtaildrum/wagtaildrum/program"
)

// streamChat streams one chat call of a program and returns its text and
// whether the stream's last event arrived. With pieces > 0 the caller drops
// its connection after that many pieces.
func streamChat(t *testing.T, url, id string, seq uint64, messages []program.Message, limit, pieces int) (text string, whole bool) {
	body, err := json.Marshal(engine.ChatRequest{Model: "fleetdesk", Messages: messages, MaxTokens: limit, Stream: true})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(caller.ProgramHeader, id)
	req.Header.Set(caller.SequenceHeader, strconv.FormatUint(seq, 10))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var b strings.Builder
	n := 0
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, 4<<20)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var c engine.ChatChunk
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		for _, ch := range c.Choices {
			b.WriteString(ch.Delta.Content)
		}
		if n++; pieces > 0 && n >= pieces {
			return b.String(), false
		}
	}
	return b.String(), false
}
