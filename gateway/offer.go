package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// maxOffers bounds how many endpoints a request is offered to that do
	// not run it.
	maxOffers = 4
	// wholeBody is how much of a plain answer is read before the caller is
	// given any of it, so that one that breaks off can be told apart.
	wholeBody = 1 << 20
	// lastEventHeader names the event after which a stream goes on.
	lastEventHeader = "Last-Event-Id"
)

// perConnection headers concern one connection only and are not passed on.
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// errUnstamped is an answer that no endpoint gave.
var errUnstamped = errors.New("answer without an endpoint's signature")

// errNotResumed is a failure in place of the rest of a stream.
var errNotResumed = errors.New("endpoint did not go on with the stream")

// offer has endpoints asked until one answers the request, or none may be
// asked any more.
func (e *exchange) offer(ctx context.Context) error {
	request := e.balanceRequest()
	for len(e.tried) < maxOffers {
		choice := e.Picker.Pick(e.Endpoints.Service(e.service), request, func(id string) bool { return slices.Contains(e.tried, id) })
		if choice == nil {
			break
		}
		e.tried, e.asked = append(e.tried, choice.Endpoint().ID), choice.Endpoint().Incarnation()
		outcome, err := e.ask(ctx, choice)
		choice.Done(outcome)
		if outcome == balance.OutcomeServed || outcome == balance.OutcomeFailed {
			return nil
		}
		e.lastError = err
		var own *refusal
		if errors.As(err, &own) && e.r.Context().Err() == nil {
			return own
		}
		if gone := e.orGone(ctx, nil); gone != nil {
			return gone
		}
		if outcome == balance.OutcomeAbandoned {
			return refuse(ReasonCallerGone, http.StatusBadGateway, 0, err)
		}
		if outcome == balance.OutcomeBroken && (!e.route.Repeatable() || e.runs >= e.route.Attempts) {
			return refuse(ReasonEndpointFailed, http.StatusBadGateway, 0, err)
		}
	}
	switch {
	case e.runs > 0 || e.opening != nil:
		return refuse(ReasonEndpointFailed, http.StatusBadGateway, 0, e.lastError)
	case len(e.tried) == 0:
		return refuse(ReasonNoEndpoint, http.StatusServiceUnavailable, busyPause, nil)
	default:
		return refuse(ReasonEndpointsFull, http.StatusServiceUnavailable, busyPause, e.lastError)
	}
}

// ask sends the request to one endpoint and passes its answer on.
func (e *exchange) ask(ctx context.Context, choice *balance.Choice) (balance.Outcome, error) {
	e.metrics.sends.Inc(1)
	response, err := e.Upstream.Do(ctx, e.request(choice))
	if err != nil {
		return e.failed(ctx, err)
	}
	defer response.Close()
	verdict := e.Dialect.Verdict(response.Status, response.Header)
	if verdict.Load != nil {
		choice.Told(*verdict.Load)
	}
	e.entrance.answered(verdict)
	switch {
	case verdict.Misdirected:
		return balance.OutcomeUnreachable, errors.New("the address belongs to another endpoint")
	case verdict.NotRun:
		return balance.OutcomeRefused, errors.New("endpoint did not run it: " + strconv.Itoa(response.Status))
	}
	choice.Answered()
	e.runs++
	if !verdict.Stamped {
		return balance.OutcomeBroken, errUnstamped
	}
	if e.opening != nil && response.Status != http.StatusOK {
		return balance.OutcomeBroken, errNotResumed
	}
	if e.route.Kind == route.KindStream && response.Status == http.StatusOK {
		return e.relayStream(ctx, response)
	}
	return e.relayWhole(ctx, response)
}

// failed returns the outcome of a request without an answer. Only if no
// byte of it left can it be told that it did not run.
func (e *exchange) failed(ctx context.Context, err error) (balance.Outcome, error) {
	var ue *upstream.Error
	if errors.As(err, &ue) && ue.Stage() == upstream.StageConnect {
		if ctx.Err() != nil {
			return balance.OutcomeAbandoned, err
		}
		return balance.OutcomeUnreachable, err
	}
	e.runs++
	if ctx.Err() != nil {
		return balance.OutcomeAbandoned, err
	}
	return balance.OutcomeBroken, err
}

func (e *exchange) request(choice *balance.Choice) *upstream.Request {
	header := endToEnd(e.r.Header)
	header.Del("Content-Length")
	header.Del("Expect")
	if e.lastEvent != "" {
		header.Set(lastEventHeader, e.lastEvent)
	}
	e.Dialect.Prepare(header, Send{Endpoint: choice.Endpoint().ID, Organisation: e.organisationName(), Deadline: e.until.Sub(e.Clock.Now())})
	return &upstream.Request{
		Address: choice.Endpoint().Address, Method: e.r.Method, Target: e.r.RequestURI, Host: e.r.Host, Header: header,
		Body: e.prompt, HasBody: e.r.ContentLength != 0, IDHeader: e.Dialect.IDHeader(),
	}
}

// endToEnd returns a copy of header without what concerns one connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range perConnection {
		out.Del(name)
	}
	return out
}

// head gives the caller the head of an endpoint's answer.
func (e *exchange) head(response *upstream.Response, length int) {
	header := e.w.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	e.endConnection()
	e.answered, e.status = true, response.Status
	e.w.WriteHeader(response.Status)
}

// relayWhole passes a plain answer on once all of it is here.
func (e *exchange) relayWhole(ctx context.Context, response *upstream.Response) (balance.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBody+1))
	if err != nil {
		if ctx.Err() != nil {
			return balance.OutcomeAbandoned, err
		}
		return balance.OutcomeBroken, err
	}
	outcome := balance.OutcomeServed
	if response.Status >= http.StatusInternalServerError {
		outcome = balance.OutcomeFailed
	}
	if len(body) <= wholeBody {
		e.head(response, len(body))
		_, _ = e.w.Write(body) // the caller may be gone; the request has run
		return outcome, nil
	}
	e.head(response, -1)
	if _, err := io.Copy(e.w, io.MultiReader(bytes.NewReader(body), response.Body)); err != nil {
		return balance.OutcomeBroken, err
	}
	return outcome, nil
}
