package sidecar

import (
	"context"
	"sync"
)

// streams holds the model call in flight of each program here. A program
// runs one call at a time, so a second one admitted by its fence means that
// nobody waits for the first: its owner was deposed, or lost the connection
// and resumes the answer on another. Left alone, the first would go on
// generating, and hold engine memory, until its connection timed out.
type streams struct {
	mu       sync.Mutex
	inFlight map[string]*stream
}

type stream struct{ cancel context.CancelFunc }

func newStreams() *streams { return &streams{inFlight: map[string]*stream{}} }

// begin cancels the program's call in flight here, if any, and returns the
// context of its new one and the function that ends it.
func (s *streams) begin(ctx context.Context, program string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	mine := &stream{cancel: cancel}
	s.mu.Lock()
	older := s.inFlight[program]
	s.inFlight[program] = mine
	s.mu.Unlock()
	if older != nil {
		older.cancel()
	}
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.inFlight[program] == mine {
			delete(s.inFlight, program)
		}
	}
}
