package entrypeer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/clock"
)

// Guards against an entry that is taken for removed since the table was read as it was before the write, and against an instance
// that believes that others have told it of crashes while they did not know it.
func TestEntryIsGoneOnlyFromTheVersionOfItsWrite(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	directory := NewDirectory(Instance{Name: "a", Owner: "a-1"}, clk)
	directory.observeVersion(8)
	assert.Empty(t, directory.removed, "not written yet")
	directory.recordWritten(10)
	clk.Advance(time.Second)
	directory.observeVersion(9)
	assert.Empty(t, directory.removed)
	assert.Equal(t, time.Second, directory.knownFor())
	directory.observeVersion(10)
	assert.Len(t, directory.removed, 1)
	assert.Zero(t, directory.knownFor())
	directory.observeVersion(11)
	assert.Len(t, directory.removed, 1, "told once")
}

// Guards against a new home that counts credit that accrued before the others knew it, when they granted it.
func TestMembershipChangesWithOwnEntry(t *testing.T) {
	clk := clock.NewFake(time.Unix(1000, 0))
	directory := NewDirectory(Instance{Name: "a", Owner: "a-1"}, clk)
	for _, version := range []uint64{10, 0, 12} {
		clk.Advance(time.Minute)
		directory.setListed(version)
		assert.Equal(t, clk.Now(), directory.changedAt)
	}
	clk.Advance(time.Minute)
	directory.setListed(13)
	assert.NotEqual(t, clk.Now(), directory.changedAt, "it was known before")
}
