package systemtest

import (
	"context"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// TestOpenAIClientStreams checks that an unchanged official OpenAI client
// gets a whole streamed answer through an entry instance, and a whole
// non-streamed one.
func TestOpenAIClientStreams(t *testing.T) {
	b := newBed(t, defaultEngines, 1)
	client := openai.NewClient(option.WithBaseURL(b.entryURL[0]+"/v1/"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	params := openai.ChatCompletionNewParams{
		Model:     "workshop",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("my scooter battery drains overnight")},
		MaxTokens: openai.Int(10),
	}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var acc openai.ChatCompletionAccumulator
	chunks := 0
	for stream.Next() {
		acc.AddChunk(stream.Current())
		chunks++
	}
	require.NoError(t, stream.Err())
	require.Len(t, acc.Choices, 1)
	require.Len(t, acc.Choices[0].Message.Content, len(acc.Choices[0].Message.Content))
	require.GreaterOrEqual(t, chunks, 10, "one chunk per token and a final one")

	whole, err := client.Chat.Completions.New(ctx, params)
	require.NoError(t, err)
	require.Equal(t, acc.Choices[0].Message.Content, whole.Choices[0].Message.Content, "same prompt, same answer, streamed or not")
	require.EqualValues(t, 10, whole.Usage.CompletionTokens)
}
