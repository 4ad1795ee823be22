package systemtest

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/dghubble/sling"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/caller"
)

// reply is what one API call answered.
type reply struct {
	status     int
	answer     caller.Response
	err        caller.ErrorDetail
	retryAfter string
}

func api(url string) *sling.Sling {
	return sling.New().Client(&http.Client{Timeout: 20 * time.Second}).Base(url)
}

func createProgram(t *testing.T, url string, p caller.CreateProgramRequest) int {
	var st caller.ProgramState
	var fail caller.ErrorBody
	resp, err := api(url).Post("v1/programs").BodyJSON(p).Receive(&st, &fail) //nolint:bodyclose // closed by sling
	require.NoError(t, err)
	return resp.StatusCode
}

// tryCall sends one program call; the error is the connection's.
func tryCall(url, id string, c caller.Call) (reply, error) {
	var r reply
	var fail caller.ErrorBody
	resp, err := api(url).Post("v1/programs/"+id+"/calls").BodyJSON(c).Receive(&r.answer, &fail) //nolint:bodyclose // closed by sling
	if err != nil {
		return r, err
	}
	r.status, r.err, r.retryAfter = resp.StatusCode, fail.Error, resp.Header.Get("Retry-After")
	return r, nil
}

// programCall is tryCall for an entry that must answer.
func programCall(t *testing.T, url, id string, c caller.Call) reply {
	r, err := tryCall(url, id, c)
	// Called from goroutines too: assert marks the test failed without
	// FailNow, which only the test's own goroutine may call.
	assert.NoError(t, err)
	return r
}

func programState(t *testing.T, url, id string) caller.ProgramState {
	var st caller.ProgramState
	_, err := api(url).Get("v1/programs/"+id).Receive(&st, nil) //nolint:bodyclose // closed by sling
	require.NoError(t, err)
	return st
}

func toolCall(seq uint64, tool string, args string) caller.Call {
	return caller.Call{Sequence: seq, Kind: caller.CallTool, Tool: tool, Arguments: json.RawMessage(args)}
}

func modelCall(seq uint64, model, content string, maxTokens int) caller.Call {
	return caller.Call{Sequence: seq, Kind: caller.CallModel, Model: model, Content: content, MaxTokens: maxTokens}
}
