package entrypeer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtaildrum/wagtaildrum/overload"
)

const (
	// maxBeginText bounds each text of a message in bytes.
	maxBeginText = 200
	// maxDigestEntries bounds the services in a message, and maxReportedLoad the
	// requests of one.
	maxDigestEntries = 8
	maxReportedLoad  = 1 << 20
	// maxWeight bounds the weight of an organisation.
	maxWeight = 1 << 30
)

// ProgramAdmission decides on the turns of programs whose home this instance is.
// *overload.Controller implements it.
type ProgramAdmission interface {
	Decide(query overload.Query) overload.Decision
}

// LoadMeter exchanges the loads of instances. *overload.Meter implements it.
type LoadMeter interface {
	// Digest returns the load of this instance.
	Digest() []overload.ServiceLoad
	// ObserveInstance records the load of another instance.
	ObserveInstance(digest []overload.ServiceLoad)
}

// beginRequest is the encoding of an overload.Query, together with the load of the
// asking instance. While capacity is short one is sent for most new programs, so the
// fields are encoded by position.
type beginRequest struct {
	_            struct{} `cbor:",toarray"`
	Program      string
	Organisation string
	Weight       float32
	Rank         int
	Services     []string
	Begun        bool
	Digest       []serviceLoad
}

// serviceLoad is the encoding of an overload.ServiceLoad.
type serviceLoad struct {
	_                struct{} `cbor:",toarray"`
	Service          string
	Running, Waiting int
}

// beginResponse is the encoding of an overload.Decision, together with the load of
// the home.
type beginResponse struct {
	_          struct{} `cbor:",toarray"`
	Verdict    overload.Verdict
	RetryAfter time.Duration
	Digest     []serviceLoad
}

// MessageError is returned for a message of another instance with a field that is
// out of range.
type MessageError struct {
	field string
}

// Error names the field.
func (e *MessageError) Error() string { return fmt.Sprintf("field %s is out of range", e.field) }

// validate returns a *MessageError if a field is out of the range that an instance
// sends.
func (message *beginRequest) validate() error {
	weight := float64(message.Weight)
	switch {
	case message.Program == "" || len(message.Program) > maxBeginText:
		return &MessageError{field: "program"}
	case len(message.Organisation) > maxBeginText:
		return &MessageError{field: "organisation"}
	case math.IsNaN(weight) || weight < 0 || weight > maxWeight:
		return &MessageError{field: "weight"}
	case message.Rank < 0:
		return &MessageError{field: "rank"}
	case len(message.Services) > maxDigestEntries || slices.ContainsFunc(message.Services, func(service string) bool { return service == "" || len(service) > maxBeginText }):
		return &MessageError{field: "services"}
	}
	return validateDigest(message.Digest)
}

// validate returns a *MessageError if a field is out of the range that an instance
// sends.
func (message *beginResponse) validate() error {
	switch {
	case message.Verdict <= overload.VerdictUndecided || message.Verdict > overload.VerdictRefused:
		return &MessageError{field: "verdict"}
	case message.RetryAfter < 0 || message.RetryAfter > time.Minute:
		return &MessageError{field: "retry delay"}
	}
	return validateDigest(message.Digest)
}

// validateDigest returns a *MessageError if a digest has too many entries, or one
// that is out of range.
func validateDigest(digest []serviceLoad) error {
	if len(digest) > maxDigestEntries {
		return &MessageError{field: "digest"}
	}
	for _, load := range digest {
		if load.Service == "" || len(load.Service) > maxBeginText || min(load.Running, load.Waiting) < 0 || max(load.Running, load.Waiting) > maxReportedLoad {
			return &MessageError{field: "digest"}
		}
	}
	return nil
}

// encodeDigest returns the encoding of a digest.
func encodeDigest(digest []overload.ServiceLoad) []serviceLoad {
	encoded := make([]serviceLoad, 0, len(digest))
	for _, load := range digest {
		encoded = append(encoded, serviceLoad{Service: load.Service, Running: load.Running, Waiting: load.Waiting})
	}
	return encoded
}

// decodeDigest is the inverse of encodeDigest.
func decodeDigest(encoded []serviceLoad) []overload.ServiceLoad {
	digest := make([]overload.ServiceLoad, 0, len(encoded))
	for _, load := range encoded {
		digest = append(digest, overload.ServiceLoad{Service: load.Service, Running: load.Running, Waiting: load.Waiting})
	}
	return digest
}

// programPeers implements overload.Peers.
type programPeers struct {
	*Client
	loads    LoadMeter
	rejected tally.Counter
	log      *slog.Logger
}

// ProgramPeers returns the other instances as homes of programs. Calls carry the
// load of this instance, and responses that of the home, which loads records.
// rejected counts invalid responses.
func (client *Client) ProgramPeers(loads LoadMeter, rejected tally.Counter, log *slog.Logger) overload.Peers {
	return &programPeers{Client: client, loads: loads, rejected: rejected, log: log}
}

// Begin implements overload.Peers. It returns an *UnavailableError if the directory
// has no instance called name, a *MessageError for an invalid response or a query that
// the home would reject, and else the errors of the call. A home that does not respond in time stays a home for other
// calls: it may be short of processor time.
func (peers *programPeers) Begin(ctx context.Context, name string, query overload.Query) (overload.Decision, error) {
	instance, ok := peers.directory.byName(name)
	if !ok {
		return overload.Decision{}, &UnavailableError{instance: name}
	}
	message := &beginRequest{Program: query.Program, Organisation: query.Organisation, Weight: float32(query.Weight), Rank: query.Rank, Services: query.Services, Begun: query.Begun, Digest: encodeDigest(peers.loads.Digest())}
	// Callers choose the names of programs. If a name that is too long were sent, each
	// of its turns would write a log line at the home.
	if err := message.validate(); err != nil {
		return overload.Decision{}, err
	}
	var response beginResponse
	err := peers.exchange(ctx, instance, pathBegin, message, &response)
	if err == nil {
		err = response.validate()
	}
	if err != nil {
		peers.recordError(name, err)
		return overload.Decision{}, err
	}
	peers.loads.ObserveInstance(decodeDigest(response.Digest))
	return overload.Decision{Verdict: response.Verdict, RetryAfter: response.RetryAfter}, nil
}

// recordError counts and logs the error of a call if the response is invalid. A home
// that gave none, or is of a version without the call, is an ordinary condition.
func (peers *programPeers) recordError(name string, err error) {
	var transportErr *TransportError
	var statusErr *StatusError
	if errors.As(err, &transportErr) || errors.As(err, &statusErr) {
		return
	}
	peers.rejected.Inc(1)
	peers.log.Warn("invalid response about the admission of a program ignored; deciding here", "instance", name, "err", err)
}

// handleBegin serves a beginRequest. A message that is invalid changes nothing.
func (server *Server) handleBegin(w http.ResponseWriter, r *http.Request) {
	var message beginRequest
	if !decode(w, r, &message) {
		server.Rejected.Inc(1)
		server.Log.Warn("request for the admission of a program rejected: not decodable", "caller", r.RemoteAddr)
		return
	}
	if err := message.validate(); err != nil {
		server.Rejected.Inc(1)
		server.Log.Warn("invalid request for the admission of a program rejected", "caller", r.RemoteAddr, "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	server.Loads.ObserveInstance(decodeDigest(message.Digest))
	decision := server.Programs.Decide(overload.Query{Program: message.Program, Organisation: message.Organisation, Weight: float64(message.Weight), Rank: message.Rank, Services: message.Services, Begun: message.Begun})
	server.reply(w, &beginResponse{Verdict: decision.Verdict, RetryAfter: decision.RetryAfter, Digest: encodeDigest(server.Loads.Digest())})
}
