package entrypeer

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/resumption"
)

const (
	// originHoldersPerDataCentre is the number of instances of each data centre that
	// are asked for an origin. Mostly it is recorded at the first one; the second one
	// is the first while that is excluded.
	originHoldersPerDataCentre = 2
	// originCopies is the number of instances at which an origin is recorded, of as
	// many data centres if possible.
	originCopies = 3
	// recordOriginTimeout bounds the recording of an origin, for which the first
	// event of a stream waits.
	recordOriginTimeout = 60 * time.Millisecond
	// maxOriginField bounds the texts of an origin in bytes.
	maxOriginField = 1 << 10
)

// recordOriginRequest requests that the receiver records the origin of an attempt.
// One is sent for many streams, so its fields are encoded by position.
type recordOriginRequest struct {
	_           struct{} `cbor:",toarray"`
	Key         []byte
	Service     string
	Version     string
	Incarnation string
}

// isValid reports whether all fields are within the range that an instance sends.
func (message *recordOriginRequest) isValid() bool {
	return len(message.Key) == len(resumption.Key{}) && len(message.Service) <= maxOriginField && len(message.Version) <= maxOriginField && len(message.Incarnation) <= maxOriginField
}

// findOriginRequest is the encoding of a resumption.Query. Key is empty for a query
// that names no attempt.
type findOriginRequest struct {
	Key     []byte
	Service string
	Period  time.Duration
}

// isValid reports whether all fields are within the range that an instance sends.
func (message *findOriginRequest) isValid() bool {
	return (len(message.Key) == 0 || len(message.Key) == len(resumption.Key{})) && message.Period >= 0
}

// findOriginResponse is the encoding of a resumption.Finding.
type findOriginResponse struct {
	Found, Conflicting            bool
	Service, Version, Incarnation string
	Age                           time.Duration
	SoleVersion                   string
	HasSoleVersion                bool
}

// finding returns the decoded response.
func (message *findOriginResponse) finding() resumption.Finding {
	return resumption.Finding{
		Origin: resumption.Origin{Service: message.Service, Version: message.Version, Incarnation: message.Incarnation},
		Found:  message.Found, Conflicting: message.Conflicting, Age: message.Age, SoleVersion: message.SoleVersion, HasSoleVersion: message.HasSoleVersion,
	}
}

// Origins holds the origins of streams. *resumption.Registry implements it.
type Origins interface {
	// Keep records an origin at this instance alone.
	Keep(key resumption.Key, origin resumption.Origin)
	// Answer returns what this instance knows for a query.
	Answer(query resumption.Query) resumption.Finding
}

// errNoInstance is returned if no other instance is known.
var errNoInstance = errors.New("no other instance to hold the origins of streams")

// RecordOrigin implements resumption.Peers. It records the origin at the instances of
// originRecorders, and returns nil after the first response. The calls go on if ctx
// ends: the caller of the stream may leave at any time, and resume it.
func (client *Client) RecordOrigin(ctx context.Context, key resumption.Key, origin resumption.Origin) error {
	message := &recordOriginRequest{Key: key[:], Service: origin.Service, Version: origin.Version, Incarnation: origin.Incarnation}
	holders := client.directory.originRecorders(key)
	results := make(chan error, len(holders))
	for _, holder := range holders {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordOriginTimeout)
			defer cancel()
			results <- client.exchange(ctx, holder, pathRecordOrigin, message, nil)
		}()
	}
	err := errNoInstance
	for range holders {
		if err = <-results; err == nil {
			return nil
		}
	}
	return err
}

// FindOrigin implements resumption.Peers. It asks the instances of all data centres
// that may hold the origin, and returns the first one found, or else what the others
// know of the service's versions.
func (client *Client) FindOrigin(ctx context.Context, query resumption.Query) (resumption.Finding, error) {
	message := &findOriginRequest{Service: query.Service, Period: query.Period}
	if query.Key != (resumption.Key{}) {
		message.Key = query.Key[:]
	}
	type result struct {
		finding resumption.Finding
		err     error
	}
	holders := client.directory.originHolders(query.Key)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(holders))
	for _, holder := range holders {
		go func() {
			var response findOriginResponse
			err := client.exchange(ctx, holder, pathFindOrigin, message, &response)
			results <- result{finding: response.finding(), err: err}
		}()
	}
	err, best, responded := errNoInstance, resumption.Finding{}, false
	for range holders {
		result := <-results
		switch {
		case result.err != nil:
			err = result.err
			continue
		case result.finding.Found || result.finding.Conflicting:
			return result.finding, nil
		case result.finding.HasSoleVersion:
			best = result.finding
		}
		responded = true
	}
	if !responded {
		return resumption.Finding{}, err
	}
	return best, nil
}

// originCandidate is an instance with its rendezvous score for the origin of an
// attempt.
type originCandidate struct {
	Instance
	score uint64
}

// originRanking holds the instances of a data centre with the highest scores, the
// highest one first.
type originRanking [originHoldersPerDataCentre]originCandidate

// consider adds an instance if its score is high enough.
func (ranking *originRanking) consider(instance Instance, score uint64) {
	for i := range ranking {
		if ranking[i].Name == "" || score > ranking[i].score {
			copy(ranking[i+1:], ranking[i:])
			ranking[i] = originCandidate{Instance: instance, score: score}
			return
		}
	}
}

// rankForOrigin ranks the other instances of each data centre for the origin of an
// attempt by rendezvous hashing. Excluded instances are left out unless all is set.
func (directory *Directory) rankForOrigin(key resumption.Key, all bool) map[string]*originRanking {
	hash := binary.BigEndian.Uint64(key[:])
	rankings := map[string]*originRanking{}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	for name, instance := range directory.instances {
		if !all && directory.isExcluded(name, now) {
			continue
		}
		ranking, ok := rankings[instance.DataCentre]
		if !ok {
			ranking = &originRanking{}
			rankings[instance.DataCentre] = ranking
		}
		ranking.consider(instance, mixBits(hash^xxhash.Sum64String(name)))
	}
	return rankings
}

// originRecorders returns the reachable instances that are to hold the origin of an
// attempt which this instance serves: the first one of this data centre, those of the
// others in order of their scores, and the next ones where there are too few data
// centres.
func (directory *Directory) originRecorders(key resumption.Key) []Instance {
	rankings := directory.rankForOrigin(key, false)
	own := directory.self.DataCentre
	dataCentres := slices.SortedFunc(maps.Keys(rankings), func(a, b string) int {
		switch {
		case a == own:
			return -1
		case b == own:
			return 1
		}
		return cmp.Compare(rankings[b][0].score, rankings[a][0].score)
	})
	recorders := make([]Instance, 0, originCopies)
	for rank := range originHoldersPerDataCentre {
		for _, dataCentre := range dataCentres {
			candidate := rankings[dataCentre][rank]
			if candidate.Name != "" && len(recorders) < originCopies {
				recorders = append(recorders, candidate.Instance)
			}
		}
	}
	return recorders
}

// originHolders returns the instances that may hold the origin of an attempt,
// whether or not they were reachable lately.
func (directory *Directory) originHolders(key resumption.Key) []Instance {
	var holders []Instance
	for _, ranking := range directory.rankForOrigin(key, true) {
		for _, candidate := range ranking {
			if candidate.Name != "" {
				holders = append(holders, candidate.Instance)
			}
		}
	}
	return holders
}

// handleRecordOrigin serves the recording of an origin.
func (server *Server) handleRecordOrigin(w http.ResponseWriter, r *http.Request) {
	var message recordOriginRequest
	if !decode(w, r, &message) {
		return
	}
	if !message.isValid() {
		http.Error(w, "origin has a field out of range", http.StatusBadRequest)
		return
	}
	server.Origins.Keep(resumption.Key(message.Key), resumption.Origin{Service: message.Service, Version: message.Version, Incarnation: message.Incarnation})
	w.WriteHeader(http.StatusNoContent)
}

// handleFindOrigin serves a query for an origin.
func (server *Server) handleFindOrigin(w http.ResponseWriter, r *http.Request) {
	var message findOriginRequest
	if !decode(w, r, &message) {
		return
	}
	if !message.isValid() {
		http.Error(w, "query for an origin has a field out of range", http.StatusBadRequest)
		return
	}
	query := resumption.Query{Service: message.Service, Period: message.Period}
	copy(query.Key[:], message.Key)
	finding := server.Origins.Answer(query)
	server.reply(w, &findOriginResponse{
		Found: finding.Found, Conflicting: finding.Conflicting, Service: finding.Origin.Service, Version: finding.Origin.Version, Incarnation: finding.Origin.Incarnation,
		Age: finding.Age, SoleVersion: finding.SoleVersion, HasSoleVersion: finding.HasSoleVersion,
	})
}
