package archive_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/platform"
	"github.com/wagtaildrum/wagtaildrum/platform/platformtest"
	"github.com/wagtaildrum/wagtaildrum/store/storetest"
)

// BenchmarkChain reads a conversation of six turns of 17,000 bytes, none of them cached, over a
// connection to the store.
func BenchmarkChain(b *testing.B) {
	memory := storetest.New()
	server := platformtest.NewStoreServer(memory)
	defer server.Close()
	client := platform.NewStore(server.Address(), tally.NoopScope)
	var ancestors []string
	for n := range 6 {
		next := turn(fmt.Sprint("t", n), ancestors...)
		next.Input = []byte(strings.Repeat("crew usage dispute ", 900))
		require.NoError(b, open(client).Save(context.Background(), next))
		ancestors = next.Chain()
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := open(client).Chain(context.Background(), "", "t5", "", unlimited{}); err != nil {
			b.Fatal(err)
		}
	}
}
