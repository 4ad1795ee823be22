package entrypeer

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wagtaildrum/wagtaildrum/quota"
	"github.com/wagtaildrum/wagtaildrum/store"
)

// CreditHome answers for the quotas of organisations, as *quota.Limiter does.
type CreditHome interface {
	// Answer answers another instance as the home of an organisation.
	Answer(ctx context.Context, question quota.Question) (quota.Answer, error)
	// Transfer moves buckets from and to another home.
	Transfer(transfer quota.Transfer) (quota.Transfer, error)
}

// creditMessage is a quota.Question. There is one for most requests of callers,
// so that it is short: fields go by their order.
type creditMessage struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Rate, Burst  float64
	Version      uint64
	Asker        string
	Program      uint64
	New          bool
	Patience     time.Duration
	Left         int
	Spare        int
	Returned     int
	Hops         int
}

// mostCredit bounds what one question says of credit, in requests.
const mostCredit = 1 << 16

// isValid reports whether the message is a question that an instance asks.
func (message *creditMessage) isValid() bool {
	for _, number := range []float64{message.Rate, message.Burst} {
		if !(number >= 0 && number <= math.MaxInt32) {
			return false
		}
	}
	for _, amount := range []int{message.Left + 1, message.Spare, message.Returned, message.Hops} {
		if amount < 0 || amount > mostCredit {
			return false
		}
	}
	return message.Organisation != "" && message.Patience <= time.Minute
}

// creditAnswer is a quota.Answer.
type creditAnswer struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
	Wait    time.Duration
	Spare   int
	Level   float32
}

// handOverMessage is a quota.Transfer of an instance, which tells who it is: it
// may have joined just now.
type handOverMessage struct {
	Name     string
	Instance Instance
	Transfer quota.Transfer
}

// homeCandidates is how many instances are named as an organisation's home: it,
// the next one, and one more for when either cannot be reached.
const homeCandidates = 3

// AskCredit implements quota.Peers. An instance that is late is not left out of
// other calls for it; one whose process has ended is.
func (client *Client) AskCredit(ctx context.Context, name string, question quota.Question) (quota.Answer, error) {
	instance, ok := client.directory.named(name)
	if !ok {
		return quota.Answer{}, &AbsentError{instance: name}
	}
	ask := question.Ask
	message := creditMessage{Organisation: question.Organisation, Rate: question.Limit.Rate, Burst: question.Limit.Burst, Version: question.Limit.Version,
		Asker: ask.Asker, Program: ask.Program, New: ask.New, Patience: ask.Patience, Left: ask.Left, Spare: ask.Spare, Returned: ask.Returned, Hops: question.Hops}
	var answer creditAnswer
	if err := client.exchange(ctx, instance, pathCredit, &message, &answer); err != nil {
		err = quotaError(err)
		if errors.Is(err, quota.ErrNotRunning) {
			client.directory.failed(instance, false)
		}
		return quota.Answer{}, err
	}
	return quota.Answer{Granted: answer.Granted, Wait: answer.Wait, Spare: answer.Spare, Level: float64(answer.Level)}, nil
}

func (server *Server) credit(w http.ResponseWriter, r *http.Request) {
	var message creditMessage
	if !decode(w, r, &message) {
		return
	}
	if !message.isValid() {
		http.Error(w, "no quota", http.StatusBadRequest)
		return
	}
	answer, err := server.Quotas.Answer(r.Context(), quota.Question{
		Organisation: message.Organisation,
		Limit:        quota.Limit{Rate: message.Rate, Burst: message.Burst, Version: message.Version},
		Ask:          quota.Ask{Asker: message.Asker, Program: message.Program, New: message.New, Patience: message.Patience, Left: message.Left, Spare: message.Spare, Returned: message.Returned},
		Hops:         message.Hops,
	})
	if err != nil {
		refuse(w, err)
		return
	}
	server.reply(w, &creditAnswer{Granted: answer.Granted, Wait: answer.Wait, Spare: answer.Spare, Level: float32(answer.Level)})
}

// HandOver implements quota.Peers.
func (client *Client) HandOver(ctx context.Context, name string, transfer quota.Transfer) (quota.Transfer, error) {
	instance, ok := client.directory.named(name)
	if !ok {
		return quota.Transfer{}, &AbsentError{instance: name}
	}
	var given quota.Transfer
	err := client.exchange(ctx, instance, pathHandOver, &handOverMessage{Name: client.directory.self.Name, Instance: client.directory.self, Transfer: transfer}, &given)
	return given, quotaError(err)
}

// refuse answers with the error of a home.
func refuse(w http.ResponseWriter, err error) {
	status := http.StatusMisdirectedRequest
	if errors.Is(err, quota.ErrStopping) {
		status = http.StatusGone
	}
	http.Error(w, err.Error(), status)
}

// quotaError returns the error of a home that refuse wrote, and
// quota.ErrNotRunning for a call whose connection was refused.
func quotaError(err error) error {
	var status *StatusError
	isStatus := errors.As(err, &status)
	switch {
	case isStatus && status.status == http.StatusMisdirectedRequest:
		return quota.ErrNotHome
	case isStatus && status.status == http.StatusGone:
		return quota.ErrStopping
	case errors.Is(err, syscall.ECONNREFUSED):
		return quota.ErrNotRunning
	}
	return err
}

func (server *Server) handOver(w http.ResponseWriter, r *http.Request) {
	var message handOverMessage
	if !decode(w, r, &message) {
		return
	}
	if server.Directory != nil {
		message.Instance.Name = store.Name(message.Name)
		server.Directory.Meet(message.Instance)
	}
	given, err := server.Quotas.Transfer(message.Transfer)
	if err != nil {
		refuse(w, err)
		return
	}
	server.reply(w, &given)
}

// Self implements quota.Peers.
func (client *Client) Self() string { return client.directory.key().Name }

// Joined implements quota.Peers.
func (client *Client) Joined(name string) time.Time {
	directory := client.directory
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.joined[name]
}

// Settled implements quota.Peers.
func (client *Client) Settled() time.Duration {
	directory := client.directory
	directory.mu.Lock()
	defer directory.mu.Unlock()
	return directory.clock.Now().Sub(directory.changed)
}

// Homes implements quota.Peers: rendezvous hashing orders the instances.
func (client *Client) Homes(organisation string, all bool) []string {
	return client.directory.homes(organisation, all)
}

func (directory *Directory) homes(organisation string, all bool) []string {
	type candidate struct {
		name  string
		score uint64
	}
	var best [homeCandidates + 1]candidate
	n := 0
	hash := xxhash.Sum64String(organisation)
	consider := func(name string) {
		best[n] = candidate{name: name, score: mix(hash ^ xxhash.Sum64String(name))}
		n++
		slices.SortFunc(best[:n], func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
		n = min(n, homeCandidates)
	}
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	consider(directory.key().Name)
	for name := range directory.instances {
		if name != directory.key().Name && (all || !directory.left(name, now)) {
			consider(name)
		}
	}
	names := make([]string, 0, homeCandidates)
	for _, candidate := range best[:n] {
		names = append(names, candidate.name)
	}
	return names
}

// mix spreads a hash over all its bits.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
