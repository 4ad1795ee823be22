package entry

import (
	"errors"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// Guards against a request that is refused for good since there was no room for its body for the moment.
func TestBodyWithoutRoomMayBeSentAgain(t *testing.T) {
	assert.Nil(t, bodyError(nil))
	refused := bodyError(eris.Wrap(&connlimit.RefusedError{}, "read"))
	assert.Equal(t, http.StatusServiceUnavailable, refused.Status())
	assert.Equal(t, http.StatusBadRequest, bodyError(errors.New("syntax")).Status())
}
