package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against long identifiers that are kept whole, or that are taken for each other: turns of programs with long names continue each other.
func TestLongIdentifiersAreTold(t *testing.T) {
	i := newFixture(t).startInstance()
	long := strings.Repeat("x", 5000)
	header := turnHeaders("program-"+long, map[string]string{"X-Session": "s-" + long})
	response, _ := i.mustSend(callerRequest{path: "/keep/x", id: "a" + long, body: "first ", header: header})
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "a"+long, response.Header.Get("X-Request-Id"), "passed on as sent")
	header["X-Previous-Turn"] = "a" + long
	response, _ = i.mustSend(callerRequest{path: "/keep/x", id: "b" + long, body: "second ", header: header})
	assert.Equal(t, http.StatusOK, response.StatusCode)
	runs := i.fixture.model.ReceivedRequests()
	assert.True(t, strings.HasPrefix(runs[len(runs)-1].Body, "first "), "continues the first turn")
	header["X-Previous-Turn"] = "c" + long
	response, _ = i.mustSend(callerRequest{path: "/keep/x", id: "d" + long, body: "third", header: header})
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
}

// Guards against work for each endpoint that grows with the number of parts that a caller lists.
func TestManySegmentsAreServed(t *testing.T) {
	i := newFixture(t).startInstance()
	var parts strings.Builder
	for n := range 2000 {
		fmt.Fprintf(&parts, "a%d:1,", n)
	}
	response, _ := i.mustSend(callerRequest{path: "/chat/x", id: "r", body: "x", header: map[string]string{"X-Prompt-Prefix": parts.String() + "z:1", "X-Token-Count": "2001,10"}})
	assert.Equal(t, http.StatusOK, response.StatusCode)
}
