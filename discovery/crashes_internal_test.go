package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wagtaildrum/wagtaildrum/codec"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

var crashNow = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// Guards against crashes that are remembered for too long, or not long enough, after a row was read late.
func TestAgesOfCrashesIncludeTheTimeSinceTheRowWasWritten(t *testing.T) {
	report := quarantine.Report{Key: quarantine.Key{1}, Attempt: 7, Incarnation: "e1", State: quarantine.StateCrashed, SentAt: crashNow.Add(-3 * time.Second), At: crashNow.Add(-2 * time.Second)}
	value, err := encodeCrashes([]quarantine.Report{report}, crashNow)
	require.NoError(t, err)
	for name, test := range map[string]struct{ readAt, at time.Time }{
		"at once":                  {crashNow, report.At},
		"10 s later":               {crashNow.Add(10 * time.Second), report.At},
		"by a clock that is early": {crashNow.Add(-time.Minute), crashNow.Add(-time.Minute - 2*time.Second)},
		"an hour later":            {crashNow.Add(time.Hour), crashNow.Add(time.Hour - quarantine.Lifetime - 2*time.Second)},
	} {
		reports, err := decodeCrashes(value, test.readAt)
		require.NoError(t, err, name)
		require.Len(t, reports, 1, name)
		assert.Equal(t, test.at, reports[0].At, name)
		assert.Equal(t, time.Second, reports[0].At.Sub(reports[0].SentAt), name)
	}
}

// Guards against fields of other writers that are out of range, and rows beyond the size that the store takes.
func TestCrashesOutOfRangeAreLeftOut(t *testing.T) {
	key := make([]byte, len(quarantine.Key{}))
	row := crashRow{Crashes: []rowCrash{
		{Key: key, Incarnation: "e1"},
		{Key: key[1:], Incarnation: "e1"},
		{Key: key},
		{Key: key, Incarnation: strings.Repeat("x", 201)},
		{Key: key, Incarnation: "e1", AgeMillis: -1},
		{Key: key, Incarnation: "e1", AgeMillis: 2, SentAgeMillis: 1},
		{Key: key, Incarnation: "e1", SentAgeMillis: 1 << 62},
	}}
	value, err := codec.Marshal(&row)
	require.NoError(t, err)
	reports, err := decodeCrashes(value, crashNow)
	require.NoError(t, err)
	assert.Len(t, reports, 1)
	var many []quarantine.Report
	for n := range maxRowCrashes {
		many = append(many, quarantine.Report{Key: quarantine.Key{byte(n)}, Attempt: 1 << 63, Incarnation: fmt.Sprintf("i-%010d@1790000000000", n), SentAt: crashNow.Add(-time.Minute), At: crashNow.Add(-time.Minute)})
	}
	value, err = encodeCrashes(many, crashNow)
	require.NoError(t, err)
	assert.Less(t, len(value), 16<<10)
}

// FuzzDecodeCrashes decodes rows of any content.
func FuzzDecodeCrashes(f *testing.F) {
	value, err := encodeCrashes([]quarantine.Report{{Key: quarantine.Key{1}, Attempt: 7, Incarnation: "e1", SentAt: crashNow, At: crashNow}}, crashNow)
	require.NoError(f, err)
	f.Add(value)
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, value []byte) {
		reports, err := decodeCrashes(value, crashNow)
		if err != nil {
			return
		}
		for _, report := range reports {
			assert.False(t, report.At.After(crashNow))
			assert.False(t, report.SentAt.After(report.At))
		}
	})
}
