package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/wagtaildrum/wagtaildrum/overload"
	"github.com/wagtaildrum/wagtaildrum/route"
)

// maxRetryShare is the share of the time in which a program should finish that a
// refused caller is told to wait at most.
const maxRetryShare = 0.2

// admitProgram determines the rank of the request's program and whether the
// program has begun. While capacity is short it returns a *refusal for a turn of a
// program that has not begun and may not begin now. It is called after the quota was
// charged, so that programs beyond their organisation's quota don't count as demand.
func (e *exchange) admitProgram(ctx context.Context) error {
	state := e.serviceQueues.program(e.program, route.Rank(e.organisation, e.route), e.turnRoute())
	e.priority, e.programBegun = state.priority, state.started
	if err := e.mayServe(ctx, state); err != nil {
		return err
	}
	e.Loads.ObserveRequest(e.service, e.priority)
	return nil
}

// mayServe has the program's home decide on a turn while capacity is short. It
// returns a *refusal if the program may not begin.
func (e *exchange) mayServe(ctx context.Context, state programState) error {
	if e.program == "" {
		return nil
	}
	if !e.spendsBudget() {
		if state.route != "" {
			e.usage.Observe(state.route, e.service)
		}
		return nil
	}
	query := overload.Query{Program: e.program, Organisation: e.organisationName(), Weight: e.table.Weight(e.organisation), Rank: e.priority, Services: e.usedServices(), Begun: state.started || e.call.Previous != ""}
	e.admission = e.Programs.Admit(ctx, query)
	switch e.admission.Verdict {
	case overload.VerdictRefused:
		return e.orEnded(ctx, refuse(ReasonOverloaded, http.StatusServiceUnavailable, e.programRetryAfter(), nil))
	case overload.VerdictBegun, overload.VerdictAdmitted:
		e.programBegun = true
	}
	return nil
}

// programRetryAfter returns the retry delay of a refused program. A program that
// should finish soon can't wait as long as others.
func (e *exchange) programRetryAfter() time.Duration {
	if e.call.Finish <= 0 {
		return e.admission.RetryAfter
	}
	return min(e.admission.RetryAfter, max(time.Duration(maxRetryShare*float64(e.call.Finish)), busyRetryAfter))
}

// turnRoute returns the name of the route if the request is a turn, and "" if not.
func (e *exchange) turnRoute() string {
	if !e.spendsBudget() {
		return ""
	}
	return e.route.Name
}

// usedServices returns the services that programs of the route use, including that
// of the request.
func (e *exchange) usedServices() []string {
	e.usage.Observe(e.route.Name, e.service)
	return e.usage.Services(e.route.Name)
}

// admissionAttrs returns the attributes of a log line about the decision on the
// program, none if nothing was decided.
func (e *exchange) admissionAttrs() []slog.Attr {
	if e.admission.Verdict == overload.VerdictUndecided && e.admission.Home == "" {
		return nil
	}
	utilisation := e.admission.Utilisation
	attrs := []slog.Attr{slog.String("admission", e.admission.Verdict.String()), slog.Float64("utilisation", utilisation.Value), slog.String("utilisation_of", utilisation.Service), slog.Duration("utilisation_age", utilisation.Age)}
	if e.admission.Home != "" {
		attrs = append(attrs, slog.String("admission_home", e.admission.Home))
	}
	if e.admission.RetryAfter > 0 {
		attrs = append(attrs, slog.Duration("retry_after", e.admission.RetryAfter))
	}
	return attrs
}

// observeLoad records the load that an endpoint reported with a response, and this
// instance's own load of the service.
func (e *exchange) observeLoad(verdict ResponseInfo) {
	if verdict.Load == nil {
		return
	}
	running, waiting, _ := e.serviceQueue.gate.Stats()
	e.Loads.ObserveServiceTime(e.service, e.serviceQueue.gate.MeanServiceTime())
	e.Loads.ObserveEndpoint(verdict.Load.Running, verdict.Load.Waiting, verdict.Load.Slots, overload.ServiceLoad{Service: e.service, Running: running, Waiting: waiting})
}
