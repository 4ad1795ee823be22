package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/wagtaildrum/wagtaildrum/balance"
	"github.com/wagtaildrum/wagtaildrum/membership"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
	"github.com/wagtaildrum/wagtaildrum/route"
	"github.com/wagtaildrum/wagtaildrum/upstream"
)

const (
	// maxEndpointsTried bounds how many endpoints receive one request if each
	// rejects it or fails: all of them may crash soon after.
	maxEndpointsTried = quarantine.MaxCrashes
	// maxUnreachable bounds how many further endpoints are tried for one request that did
	// not receive it. Such a try takes little time and ends nothing, and a rack may be gone.
	maxUnreachable = 16
	// maxBufferedBody is how much of a plain response is read before any of it
	// is relayed. A response that breaks off within this size is detected and
	// can be retried.
	maxBufferedBody = 1 << 20
	// bufferStep is how much of a plain response is read at a time before the
	// memory for bodies is checked, and firstBufferStep at first.
	bufferStep      = 32 << 10
	firstBufferStep = 4 << 10
	// lastEventHeader names the event after which a stream resumes.
	lastEventHeader = "Last-Event-Id"
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// errUnstamped is the error for a response that no endpoint produced.
var errUnstamped = errors.New("response has no endpoint stamp")

// errNotResumed is the error for a failure response where the remainder of a
// stream was requested.
var errNotResumed = errors.New("endpoint did not resume the stream")

// dispatch sends the request to one endpoint after another until one serves it.
// It returns a *refusal if no further endpoint may be tried.
func (e *exchange) dispatch(ctx context.Context) error {
	request := e.balanceRequest()
	for len(e.tried)-e.unreachable < maxEndpointsTried && e.unreachable < maxUnreachable {
		if err := e.checkShutdown(); err != nil {
			return err
		}
		if err := e.checkCrashes(ctx); err != nil {
			return err
		}
		choice := e.pick(request)
		if choice == nil {
			break
		}
		e.tried, e.incarnation = append(e.tried, choice.Endpoint().ID), choice.Endpoint().Incarnation()
		e.versions = append(e.versions, choice.Endpoint().Version)
		e.beginSend(ctx, choice.Endpoint())
		outcome, err := e.try(ctx, choice)
		choice.Done(outcome)
		e.lastError = err
		e.endSend(ctx, choice.Endpoint(), outcome, err)
		if outcome == balance.OutcomeUnreachable {
			e.unreachable++
		}
		if outcome == balance.OutcomeServed || outcome == balance.OutcomeFailed {
			return nil
		}
		var rejection *refusal
		if errors.As(err, &rejection) && e.r.Context().Err() == nil {
			return rejection
		}
		if gone := e.orEnded(ctx, nil); gone != nil {
			return gone
		}
		if outcome == balance.OutcomeAbandoned {
			return refuse(ReasonCallerGone, http.StatusBadGateway, 0, err)
		}
		if outcome == balance.OutcomeBroken && (!e.route.Repeatable() || e.runs >= e.route.Attempts || e.bodyRelayed) {
			return refuse(ReasonEndpointFailed, http.StatusBadGateway, 0, err)
		}
	}
	switch {
	case e.runs > 0 || e.firstResponse != nil:
		return refuse(ReasonEndpointFailed, http.StatusBadGateway, 0, e.lastError)
	case len(e.tried) == 0:
		return refuse(ReasonNoEndpoint, http.StatusServiceUnavailable, busyRetryAfter, nil)
	default:
		return refuse(ReasonEndpointsFull, http.StatusServiceUnavailable, busyRetryAfter, e.lastError)
	}
}

// pick chooses the next endpoint, nil if there is none.
func (e *exchange) pick(request *balance.Request) *balance.Choice {
	endpoints := e.Endpoints.Service(e.service)
	skip := e.skipped(endpoints)
	if isolated := e.isolated(endpoints); len(isolated) > 0 {
		if choice := e.Picker.Pick(endpoints, request, func(id string) bool { return isolated[id] || skip(id) }); choice != nil {
			return choice
		}
	}
	return e.Picker.Pick(endpoints, request, skip)
}

// balanceRequest returns the properties of the request that the picker uses to
// choose an endpoint.
func (e *exchange) balanceRequest() *balance.Request {
	request := &balance.Request{DataCentre: e.DataCentre, Segments: e.call.Segments, OutputTokens: e.call.MaxTokens}
	if service := e.table.Service(e.service); service != nil && service.Model != nil {
		request.Capacity = service.Model.Capacity
	}
	return request
}

// try sends the request to one endpoint and relays its response. It returns the
// outcome for the picker, and an error unless the outcome is OutcomeServed or
// OutcomeFailed.
func (e *exchange) try(ctx context.Context, choice *balance.Choice) (balance.Outcome, error) {
	e.metrics.sends.Inc(1)
	response, err := e.Upstream.Do(ctx, e.upstreamRequest(choice))
	if err != nil {
		return e.failureOutcome(ctx, err)
	}
	defer response.Close()
	verdict := e.Dialect.ResponseInfo(response.Status, response.Header)
	if verdict.Load != nil {
		choice.ReportLoad(*verdict.Load)
	}
	e.serviceQueue.recordResponse(verdict, e.othersWaiting())
	e.observeLoad(verdict)
	switch {
	case verdict.Misdirected:
		return balance.OutcomeUnreachable, errors.New("endpoint address now belongs to another endpoint")
	case verdict.NotRun:
		return balance.OutcomeRefused, errors.New("request was not run by the endpoint: status " + strconv.Itoa(response.Status))
	}
	choice.HeaderReceived()
	e.heard(choice.Endpoint(), verdict)
	e.runs++
	if !verdict.Stamped {
		return balance.OutcomeBroken, errUnstamped
	}
	if e.firstResponse != nil && response.Status != http.StatusOK {
		return balance.OutcomeBroken, errNotResumed
	}
	if e.route.Kind == route.KindStream && response.Status == http.StatusOK {
		return e.relayStream(ctx, response, choice)
	}
	return e.relayBuffered(ctx, response, choice.Endpoint())
}

// failureOutcome returns the outcome of a request that got no response. The
// request certainly did not run only if the connection failed before a byte was
// sent.
func (e *exchange) failureOutcome(ctx context.Context, err error) (balance.Outcome, error) {
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

// upstreamRequest returns the request to send to the chosen endpoint. It carries
// the ID of the last event received if the stream is to be resumed.
func (e *exchange) upstreamRequest(choice *balance.Choice) *upstream.Request {
	header := endToEndHeaders(e.r.Header)
	header.Del("Content-Length")
	header.Del("Expect")
	if e.lastEventID != "" {
		header.Set(lastEventHeader, e.lastEventID)
	}
	e.Dialect.Prepare(header, ForwardInfo{Endpoint: choice.Endpoint().ID, Organisation: e.organisationName(), Deadline: e.deadline.Sub(e.Clock.Now())})
	return &upstream.Request{
		Address: choice.Endpoint().Address, Method: e.r.Method, Target: e.r.RequestURI, Host: e.r.Host, Header: header,
		Prefix: e.conversation.parts, Body: e.body, HasBody: e.r.ContentLength != 0, IDHeader: e.Dialect.IDHeader(),
	}
}

// endToEndHeaders returns a copy of header without hop-by-hop headers.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// writeHead sends the caller the status and headers of an endpoint's response.
// A negative length omits the Content-Length header.
func (e *exchange) writeHead(response *upstream.Response, length int) {
	header := e.w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	e.setConnectionClose()
	e.headWritten, e.status = true, response.Status
	e.w.WriteHeader(response.Status)
}

// bufferBody reads the beginning of a response body, up to maxBufferedBody, and
// less if the memory for bodies is exhausted. Callers that read slowly could
// otherwise make the process exceed its memory. It reports whether the body is
// complete.
func (e *exchange) bufferBody(body io.Reader) (data net.Buffers, complete bool, err error) {
	size := firstBufferStep
	for total := 0; total < maxBufferedBody && e.countMemory(0); size = bufferStep {
		e.countMemory(int64(size))
		chunk := make([]byte, size)
		n, err := io.ReadFull(body, chunk)
		data, total = append(data, chunk[:n]), total+n
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF:
			return data, true, nil
		case err != nil:
			return data, false, err
		}
	}
	return data, false, nil
}

// finalStatuses are those of responses other than successful ones after which callers do not
// send the request again.
var finalStatuses = []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge}

// isRepeated reports whether callers may send a request again that gets a response with the
// status.
func isRepeated(status int) bool {
	isSuccess := status >= http.StatusOK && status < http.StatusMultipleChoices
	return !isSuccess && !slices.Contains(finalStatuses, status)
}

// relayBuffered relays a plain response. A body within the limits of bufferBody
// is read completely first; a longer one is then streamed.
func (e *exchange) relayBuffered(ctx context.Context, response *upstream.Response, endpoint *membership.Endpoint) (balance.Outcome, error) {
	body, complete, err := e.bufferBody(response.Body)
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
	e.failed = isRepeated(response.Status)
	length := -1
	if complete {
		if e.failed {
			response.Close() // the connection can be watched
			e.awaitFailureSettled(ctx, endpoint)
		}
		length = 0
		for _, chunk := range body {
			length += len(chunk)
		}
	}
	e.writeHead(response, length)
	e.bodyRelayed = true
	_, err = body.WriteTo(e.w)
	if complete {
		return outcome, nil // the caller may be gone; the request has run
	}
	if err == nil {
		_, err = io.Copy(e.w, response.Body)
	}
	if err != nil {
		return balance.OutcomeBroken, err
	}
	return outcome, nil
}
