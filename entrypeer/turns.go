package entrypeer

import (
	"context"
	"net/http"

	"github.com/wagtaildrum/wagtaildrum/archive"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
)

// TurnCache holds turns in memory. *archive.Archive implements it.
type TurnCache interface {
	// Cached returns a turn and its ancestors, as far as they are in memory.
	Cached(id string) []archive.EncodedTurn
}

// turnsRequest requests a turn and its ancestors.
type turnsRequest struct {
	ID string
}

// turnsResponse holds the turns found in memory, the requested one first.
type turnsResponse struct {
	Turns []archive.EncodedTurn
}

// UnavailableError is returned when an instance is not called because it is not
// in the directory or is excluded after a failure.
type UnavailableError struct {
	instance string
}

// Error returns the instance.
func (e *UnavailableError) Error() string {
	return "instance " + e.instance + " is unknown or excluded"
}

// Turns implements archive.Peers. It returns an *UnavailableError if the
// directory has no instance called name or excludes it. A timeout does not
// exclude the instance from other calls, whose timeouts are about ten times as
// long.
func (client *Client) Turns(ctx context.Context, name, id string) ([]archive.EncodedTurn, error) {
	instance, ok := client.directory.available(name)
	if !ok {
		return nil, &UnavailableError{instance: name}
	}
	var response turnsResponse
	if err := client.exchange(ctx, instance, pathTurns, &turnsRequest{ID: id}, &response); err != nil {
		return nil, err
	}
	return response.Turns, nil
}

// handleTurns serves a request for turns in memory, if there is room to send them.
func (server *Server) handleTurns(w http.ResponseWriter, r *http.Request) {
	var message turnsRequest
	if !decode(w, r, &message) {
		return
	}
	if !connlimit.Reserve(r, archive.CachedMemory) {
		http.Error(w, "no memory for turns", http.StatusServiceUnavailable)
		return
	}
	server.reply(w, &turnsResponse{Turns: server.Turns.Cached(message.ID)})
}
