package sidecar

import (
	"context"
	"sync"
)

// modelCalls holds the model call in flight of each program at this endpoint. A
// program runs one call at a time. A second call with a valid fence therefore
// means that nobody waits for the first: the program has a new owner, or its
// owner lost the connection and resumes the response on another. Unless it is
// cancelled, the first call would continue to generate and use engine memory
// until its connection times out.
type modelCalls struct {
	mu       sync.Mutex
	inFlight map[string]*modelCall
}

// modelCall is one call in flight; calls of one program differ by address.
type modelCall struct{ cancel context.CancelFunc }

func newModelCalls() *modelCalls { return &modelCalls{inFlight: map[string]*modelCall{}} }

// begin cancels the program's call in flight, if any, and records a new one. It
// returns the context of the new call and a function to call when it ends.
func (s *modelCalls) begin(ctx context.Context, program string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	current := &modelCall{cancel: cancel}
	s.mu.Lock()
	previous := s.inFlight[program]
	s.inFlight[program] = current
	s.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.inFlight[program] == current {
			delete(s.inFlight, program)
		}
	}
}
