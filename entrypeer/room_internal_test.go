package entrypeer

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"

	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// Guards against a call that counts as invalid since there was no room for it for the moment.
func TestCallWithoutRoomIsNotInvalid(t *testing.T) {
	for cause, status := range map[error]int{&connlimit.RefusedError{}: http.StatusServiceUnavailable, errors.New("read"): http.StatusBadRequest} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(iotest.ErrReader(cause)))
		assert.False(t, decode(w, r, &giveBackRequest{}))
		assert.Equal(t, status, w.Code)
	}
}
