package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/caller"
	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/retry"
)

// maxBody bounds a request's body: a history of 250,000 tokens and room to
// spare.
const maxBody = 8 << 20

// retryAfterUnavailable is when a caller refused because the platform is
// down should come back.
const retryAfterUnavailable = 500 * time.Millisecond

func decodeBody(r *http.Request, v any) *caller.Error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "body: %v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// apiError turns a core or lease error into the caller's error.
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
			return caller.NewError(http.StatusConflict, caller.TypeOutOfOrder, "%s", pe.Error()).RetryAfter(time.Second)
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
		return caller.NewError(http.StatusBadGateway, caller.TypeNotDurable, "%s; send the same sequence again", nd.Error()).RetryAfter(comeBack())
	}
	var ee *ExistsError
	if errors.As(err, &ee) {
		return caller.NewError(http.StatusConflict, caller.TypeExists, "%s", ee.Error())
	}
	var le *LeaseError
	if errors.As(err, &le) {
		return caller.NewError(http.StatusServiceUnavailable, caller.TypeUnavailable, "not run: %s", le.Error()).RetryAfter(time.Second)
	}
	return caller.NewError(http.StatusServiceUnavailable, caller.TypeUnavailable, "platform: %v", err).RetryAfter(comeBack())
}

// comeBack is retryAfterUnavailable, a little later for some than for others
// so that they do not all come back together.
func comeBack() time.Duration { return retryAfterUnavailable + retry.Jitter(retryAfterUnavailable) }

func (e *Entry) createProgram(w http.ResponseWriter, r *http.Request) {
	var req caller.CreateProgram
	if cerr := decodeBody(r, &req); cerr != nil {
		cerr.Write(w)
		return
	}
	spec, cerr := specOf(&req)
	if cerr != nil {
		cerr.Write(w)
		return
	}
	if err := spec.Validate(); err != nil {
		apiError(err).Write(w)
		return
	}
	unlock := e.adopting.lock(string(spec.ID))
	defer unlock()
	if _, ok := e.lookup(spec.ID); ok {
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
	o := &owned{prog: p, epoch: lease.version, leaseVer: lease.version, leaseExpires: lease.expires}
	e.keep(spec.ID, o)
	e.log.Info("program created", "program", spec.ID, "urgency", spec.Urgency, "budget", spec.BudgetTokens, "fence", lease.version)
	writeJSON(w, http.StatusCreated, e.stateOf(o))
}

func specOf(req *caller.CreateProgram) (program.Spec, *caller.Error) {
	urgency, err := program.ParseUrgency(req.Urgency)
	if err != nil {
		return program.Spec{}, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "urgency: %v", err)
	}
	var deadline time.Duration
	if req.Deadline != "" {
		deadline, err = time.ParseDuration(req.Deadline)
		if err != nil {
			return program.Spec{}, caller.NewError(http.StatusBadRequest, caller.TypeInvalidRequest, "deadline: %v", err)
		}
	}
	return program.Spec{ID: program.ID(req.ID), BudgetTokens: req.BudgetTokens, Urgency: urgency,
		Deadline: deadline, NonIdempotentTools: req.NonIdempotentTools}, nil
}

func (e *Entry) stateOf(o *owned) caller.ProgramState {
	p := o.prog
	return caller.ProgramState{ID: string(p.ID()), State: p.State().String(), Urgency: p.Spec().Urgency.String(),
		NextSequence: p.NextSequence(), BudgetTokens: p.Spec().BudgetTokens, SpentTokens: p.Spent(),
		HistoryTurns: len(p.History()), Owner: e.id, Fence: p.Fence()}
}

func (e *Entry) getProgram(w http.ResponseWriter, _ *http.Request, o *owned) {
	o.mu.Lock()
	st := e.stateOf(o)
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, st)
}

// endProgram ends a program: its call in flight, if any, is cancelled,
// which cancels the engine's stream through the sidecar, so no engine
// memory stays held by it. The end is durable before it is answered, so no
// later owner takes the program up again.
func (e *Entry) endProgram(w http.ResponseWriter, r *http.Request, o *owned) {
	o.mu.Lock()
	o.prog.End()
	o.endedAt = e.clock.Now()
	cancel := o.cancel
	st := e.stateOf(o)
	o.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	err := e.persist(r.Context(), o) // a turn still pending
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
	e.markEnded(o)
	e.log.Info("program ended", "program", st.ID, "spent", st.SpentTokens)
	writeJSON(w, http.StatusOK, st)
}
