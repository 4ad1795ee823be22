package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/connlimit"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/retry"
)

// maxBody bounds the size of a request's body. It leaves a margin over a
// history of 250,000 tokens.
const maxBody = 8 << 20

// retryAfterUnavailable is the minimum Retry-After sent when the platform is
// unavailable.
const retryAfterUnavailable = 500 * time.Millisecond

// decodeBody decodes the JSON body of r into v. It fails if the body is
// invalid, exceeds maxBody or has unknown fields.
func decodeBody(r *http.Request, v any) *caller.Error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	dec.DisallowUnknownFields()
	return bodyError(dec.Decode(v))
}

// bodyError returns the caller's error for an error of reading or decoding a request's body.
func bodyError(err error) *caller.Error {
	switch {
	case err == nil:
		return nil
	case connlimit.IsRefused(err):
		return caller.NewError(http.StatusServiceUnavailable, caller.TypeOverloaded, "not run: %v", err).WithRetryAfter(time.Second)
	}
	return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "invalid body: %v", err)
}

// writeJSON writes a response with v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// apiError returns the caller's error for err: a *caller.Error itself, or the
// mapping of an error of the program package or of this package. Any other
// error is reported as an unavailable platform.
func apiError(err error) *caller.Error {
	var ce *caller.Error
	if errors.As(err, &ce) {
		return ce
	}
	var pe *program.Error
	if errors.As(err, &pe) {
		switch pe.Reason() {
		case program.ReasonNotFound:
			return caller.NewError(http.StatusNotFound, caller.TypeNotFound, "%s", pe.Error())
		case program.ReasonExists:
			return caller.NewError(http.StatusConflict, caller.TypeExists, "%s", pe.Error())
		case program.ReasonEnded:
			return caller.NewError(http.StatusGone, caller.TypeEnded, "%s", pe.Error())
		case program.ReasonOutOfOrder:
			return caller.NewError(http.StatusConflict, caller.TypeOutOfOrder, "%s", pe.Error()).WithRetryAfter(time.Second)
		case program.ReasonOverBudget:
			return caller.NewError(http.StatusPaymentRequired, caller.TypeOverBudget, "%s", pe.Error())
		case program.ReasonPastDeadline:
			return caller.NewError(http.StatusGone, caller.TypePastDeadline, "%s", pe.Error())
		case program.ReasonBadSpec:
			return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "%s", pe.Error())
		}
	}
	var nd *NotDurableError
	if errors.As(err, &nd) {
		return caller.NewError(http.StatusBadGateway, caller.TypeNotDurable, "%s; send the same sequence number again", nd.Error()).WithRetryAfter(unavailableRetryAfter())
	}
	var ee *ExistsError
	if errors.As(err, &ee) {
		return caller.NewError(http.StatusConflict, caller.TypeExists, "%s", ee.Error())
	}
	var le *LeaseError
	if errors.As(err, &le) {
		return caller.NewError(http.StatusServiceUnavailable, caller.TypeUnavailable, "not run: %s", le.Error()).WithRetryAfter(time.Second)
	}
	return caller.NewError(http.StatusServiceUnavailable, caller.TypeUnavailable, "platform operation failed: %v", err).WithRetryAfter(unavailableRetryAfter())
}

// unavailableRetryAfter returns retryAfterUnavailable with random jitter of
// up to the same duration, so that callers refused together do not retry
// together.
func unavailableRetryAfter() time.Duration {
	return retryAfterUnavailable + retry.Jitter(retryAfterUnavailable)
}

// createProgram serves POST /v1/programs.
func (e *Entry) createProgram(w http.ResponseWriter, r *http.Request) {
	var req caller.CreateProgramRequest
	if cerr := decodeBody(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	spec, cerr := specFromRequest(&req)
	if cerr != nil {
		cerr.Write(w)
		return
	}
	if err := spec.Validate(); err != nil {
		apiError(err).Write(w)
		return
	}
	unlock := e.programLocks.lock(string(spec.ID))
	defer unlock()
	if _, ok := e.lookupOwned(spec.ID); ok {
		apiError(&ExistsError{program: spec.ID}).Write(w)
		return
	}
	created := newProgram{Spec: spec, Created: e.clock.Now()}
	lease, err := e.createLease(r.Context(), &created)
	if err != nil {
		apiError(err).Write(w)
		return
	}
	p, err := program.New(spec, created.Created, lease.version)
	if err != nil {
		apiError(err).Write(w)
		return
	}
	o := &ownedProgram{prog: p, epoch: lease.version, leaseVer: lease.version, leaseExpires: lease.expires}
	e.addOwned(spec.ID, o)
	e.log.Info("program created", "program", spec.ID, "urgency", spec.Urgency, "budget", spec.BudgetTokens, "fence", lease.version)
	writeJSON(w, http.StatusCreated, e.programState(o))
}

// specFromRequest returns the Spec that req describes. It fails if the
// urgency or the deadline is invalid.
func specFromRequest(req *caller.CreateProgramRequest) (program.Spec, *caller.Error) {
	urgency, err := program.ParseUrgency(req.Urgency)
	if err != nil {
		return program.Spec{}, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "invalid urgency: %v", err)
	}
	var deadline time.Duration
	if req.Deadline != "" {
		deadline, err = time.ParseDuration(req.Deadline)
		if err != nil {
			return program.Spec{}, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "invalid deadline: %v", err)
		}
	}
	return program.Spec{ID: program.ID(req.ID), BudgetTokens: req.BudgetTokens, Urgency: urgency,
		Deadline: deadline, NonIdempotentTools: req.NonIdempotentTools}, nil
}

// programState returns the program's state in the form of the HTTP API. The
// caller must hold o.mu, unless no other goroutine can reach o yet.
func (e *Entry) programState(o *ownedProgram) caller.ProgramState {
	p := o.prog
	return caller.ProgramState{ID: string(p.ID()), State: p.State().String(), Urgency: p.Spec().Urgency.String(),
		NextSequence: p.NextSequence(), BudgetTokens: p.Spec().BudgetTokens, SpentTokens: p.Spent(),
		HistoryTurns: len(p.History()), Owner: e.id, Fence: p.Fence()}
}

// getProgram serves GET /v1/programs/{id}.
func (e *Entry) getProgram(w http.ResponseWriter, _ *http.Request, o *ownedProgram) {
	o.mu.Lock()
	st := e.programState(o)
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, st)
}

// endProgram serves DELETE /v1/programs/{id}: it ends the program. The call
// in flight, if there is one, is cancelled, and the sidecar cancels the
// engine's stream, which frees the memory held at the engine. The response is
// sent only after the end is durable, so that no later owner resumes the
// program.
func (e *Entry) endProgram(w http.ResponseWriter, r *http.Request, o *ownedProgram) {
	o.mu.Lock()
	o.prog.End()
	o.endedAt = e.clock.Now()
	cancel := o.cancel
	st := e.programState(o)
	o.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	err := e.persist(r.Context(), o) // a turn may still be pending
	if err == nil {
		o.mu.Lock()
		e.stageTurn(o)
		o.mu.Unlock()
		err = e.persist(r.Context(), o)
	}
	if err != nil {
		apiError(err).Write(w)
		return
	}
	e.queueEndedLease(o)
	e.log.Info("program ended", "program", st.ID, "spent", st.SpentTokens)
	writeJSON(w, http.StatusOK, st)
}
