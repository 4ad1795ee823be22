package entrypeer

import (
	"testing"
	"time"

	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/feed"
)

// Checks that no message of another instance makes this one panic: it may be of
// another version or damaged.
func FuzzFeedMessage(f *testing.F) {
	for _, message := range []any{
		&feedRequest{Table: "t", After: 7},
		&feedResponse{Rows: []feedRow{{Name: "a", Value: []byte("v"), Version: 8}, {Name: "b", Version: 9, Removed: true}}, Version: 9, Loaded: true, Age: time.Second, Recovered: time.Minute},
	} {
		data, err := codec.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request feedRequest
		_ = codec.Unmarshal(data, &request) // any error is valid; a panic is not
		var response feedResponse
		if codec.Unmarshal(data, &response) != nil {
			return
		}
		now := time.Now()
		update := response.update("t", now)
		_ = update.OutdatedReason(now)
		table := feed.NewReplica(nil, realClock{})
		table.Apply(update.Rows, update.Version, update.ConfirmedAt)
	})
}

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }
