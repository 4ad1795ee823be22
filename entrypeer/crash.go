package entrypeer

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/wagtaildrum/wagtaildrum/clock"
	"github.com/wagtaildrum/wagtaildrum/quarantine"
)

const (
	// reportFanOut is the number of instances to which an instance sends reports. With
	// more instances, each of these passes them on to a share of the others.
	reportFanOut = 16
	// reportHopTimeout bounds a call for each level of instances that pass the reports
	// on.
	reportHopTimeout = 60 * time.Millisecond
	// reportRepeatTimeout bounds a repeated call, and maxRepeating the repetitions in
	// progress.
	reportRepeatTimeout = 500 * time.Millisecond
	maxRepeating        = 8
	// fetchedInstances is the number of instances that are asked for reports.
	fetchedInstances = 3
	// maxReports bounds the reports of a message, and maxReportText the length of an
	// incarnation's name in bytes.
	maxReports    = 1000
	maxReportText = 200
	// maxReportRelays bounds the instances to which one message is passed on.
	maxReportRelays = 10_000
)

// reportRepeatDelays are the delays after which reports are sent again to instances that
// did not respond, such as one that was suspended.
var reportRepeatDelays = []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second}

// crashReport is the encoding of a quarantine.Report. Times are told by their ages,
// since the clocks of instances differ.
type crashReport struct {
	_           struct{} `cbor:",toarray"`
	Key         []byte
	Attempt     uint64
	Incarnation string
	State       quarantine.State
	SentAge     time.Duration
	Age         time.Duration
}

// reportsMessage carries reports, which the receiver passes on to the named instances.
type reportsMessage struct {
	_       struct{} `cbor:",toarray"`
	Reports []crashReport
	Relays  []string
}

// fetchReportsResponse holds what an instance knows.
type fetchReportsResponse struct {
	_       struct{} `cbor:",toarray"`
	Reports []crashReport
}

// reportsResponse holds the names of the instances, of those that the reports were to be
// passed on to, that did not respond.
type reportsResponse struct {
	_      struct{} `cbor:",toarray"`
	Missed []string
}

// CrashReports receives the reports of other instances. *quarantine.Guard implements it.
type CrashReports interface {
	Receive(reports []quarantine.Report)
	// Reports returns what is known, at most limit reports.
	Reports(limit int) []quarantine.Report
}

// encodeReports returns the encoding of reports at now.
func encodeReports(reports []quarantine.Report, now time.Time) []crashReport {
	encoded := make([]crashReport, 0, len(reports))
	for _, report := range reports {
		encoded = append(encoded, crashReport{Key: report.Key[:], Attempt: report.Attempt, Incarnation: report.Incarnation, State: report.State, SentAge: now.Sub(report.SentAt), Age: now.Sub(report.At)})
	}
	return encoded
}

// decodeReports returns the decoded reports, and a *MessageError if a field is out of the range
// that an instance sends.
func decodeReports(encoded []crashReport, now time.Time) ([]quarantine.Report, error) {
	if len(encoded) > maxReports {
		return nil, &MessageError{field: "reports"}
	}
	reports := make([]quarantine.Report, 0, len(encoded))
	for _, report := range encoded {
		switch {
		case len(report.Key) != len(quarantine.Key{}):
			return nil, &MessageError{field: "key"}
		case report.Incarnation == "" || len(report.Incarnation) > maxReportText:
			return nil, &MessageError{field: "incarnation"}
		case report.State < 0 || report.State > quarantine.StateServed:
			return nil, &MessageError{field: "state"}
		case report.Age < 0 || report.SentAge < report.Age || report.SentAge > math.MaxInt64/2:
			return nil, &MessageError{field: "age"}
		}
		reports = append(reports, quarantine.Report{Key: quarantine.Key(report.Key), Attempt: report.Attempt, Incarnation: report.Incarnation, State: report.State, SentAt: now.Add(-report.SentAge), At: now.Add(-report.Age)})
	}
	return reports, nil
}

// PublishReports implements quarantine.Peers. Instances that do not respond are called
// again later.
func (client *Client) PublishReports(ctx context.Context, reports []quarantine.Report) (received, instances int) {
	all := client.directory.all()
	encoded := encodeReports(reports, client.directory.clock.Now())
	missed := client.spread(ctx, encoded, all)
	if len(missed) > 0 {
		client.repeatReports(ctx, encoded, missed)
	}
	return len(all) - len(missed), len(all)
}

// repeatReports sends reports again to instances that did not respond. It drops them if
// too many are being repeated already.
func (client *Client) repeatReports(ctx context.Context, reports []crashReport, missed []string) {
	select {
	case client.repeating <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-client.repeating }()
		for _, delay := range reportRepeatDelays {
			if !clock.Sleep(ctx, delay) {
				return
			}
			for i := range reports {
				reports[i].Age += delay
				reports[i].SentAge += delay
			}
			missed = client.sendReports(ctx, reports, missed)
		}
	}()
}

// sendReports sends reports to each of the named instances and returns those that did not
// respond.
func (client *Client) sendReports(ctx context.Context, reports []crashReport, names []string) []string {
	var missed []string
	for group := range slices.Chunk(client.directory.named(names), reportFanOut) {
		results := make(chan string, len(group))
		for _, instance := range group {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, reportRepeatTimeout)
				defer cancel()
				name := ""
				if client.exchange(ctx, instance, pathReports, &reportsMessage{Reports: reports}, nil) != nil {
					name = instance.Name
				}
				results <- name
			}()
		}
		for range group {
			if name := <-results; name != "" {
				missed = append(missed, name)
			}
		}
	}
	return missed
}

// FetchReports implements quarantine.Peers. It asks a few instances at the same time.
func (client *Client) FetchReports(ctx context.Context) []quarantine.Report {
	asked := client.directory.relayCandidates(fetchedInstances)
	results := make(chan []quarantine.Report, len(asked))
	for _, instance := range asked {
		go func() {
			var response fetchReportsResponse
			if err := client.exchange(ctx, instance, pathFetchReports, struct{}{}, &response); err != nil {
				results <- nil
				return
			}
			// A response with a field out of range is as good as none.
			reports, _ := decodeReports(response.Reports, client.directory.clock.Now())
			results <- reports
		}()
	}
	var all []quarantine.Report
	for range asked {
		all = append(all, <-results...)
	}
	return all
}

// KnownFor implements quarantine.Peers.
func (client *Client) KnownFor() time.Duration { return client.directory.knownFor() }

// knownFor returns how long ago the entry of this instance was written; 0 if it was not.
func (directory *Directory) knownFor() time.Duration {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if directory.writtenAt.IsZero() {
		return 0
	}
	return directory.clock.Now().Sub(directory.writtenAt)
}

// PostponeIntroduction records that the store is unavailable, from which the other
// instances learn of this one.
func (directory *Directory) PostponeIntroduction() {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	now := directory.clock.Now()
	if !directory.writtenAt.IsZero() && now.Sub(directory.writtenAt) < quarantine.IntroductionTime {
		directory.writtenAt = now
	}
}

// spread sends reports to the instances, directly if they are few, and returns the names
// of those that did not respond.
func (client *Client) spread(ctx context.Context, reports []crashReport, instances []Instance) []string {
	if len(instances) == 0 {
		return nil
	}
	size := (len(instances) + reportFanOut - 1) / reportFanOut
	results := make(chan []string, reportFanOut)
	groups := 0
	for group := range slices.Chunk(instances, size) {
		groups++
		go func() { results <- client.spreadGroup(ctx, reports, group) }()
	}
	var missed []string
	for range groups {
		missed = append(missed, <-results...)
	}
	return missed
}

// spreadGroup sends reports to the first instance of the group that responds, which
// passes them on to the rest of it. It returns the names of those that did not respond.
func (client *Client) spreadGroup(ctx context.Context, reports []crashReport, group []Instance) []string {
	var missed []string
	for i, head := range group {
		rest := group[i+1:]
		message := &reportsMessage{Reports: reports}
		for _, instance := range rest {
			message.Relays = append(message.Relays, instance.Name)
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(levels(len(rest))+1)*reportHopTimeout)
		var response reportsResponse
		err := client.exchange(callCtx, head, pathReports, message, &response)
		cancel()
		if err == nil {
			return append(missed, response.Missed...)
		}
		missed = append(missed, head.Name)
	}
	return missed
}

// levels returns how often reports for n instances are passed on.
func levels(n int) int {
	count := 0
	for n > 0 {
		count++
		n /= reportFanOut + 1
	}
	return count
}

// all returns the other instances, grouped by data centre, whether or not they were
// reachable lately.
func (directory *Directory) all() []Instance {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	all := make([]Instance, 0, len(directory.instances))
	for _, instance := range directory.instances {
		all = append(all, instance)
	}
	slices.SortFunc(all, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// named returns the instances of the given names that are known.
func (directory *Directory) named(names []string) []Instance {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	var named []Instance
	for _, name := range names {
		if instance, ok := directory.instances[name]; ok {
			named = append(named, instance)
		}
	}
	return named
}

// handleReports serves the reports of another instance and passes them on.
func (server *Server) handleReports(w http.ResponseWriter, r *http.Request) {
	var message reportsMessage
	if !decode(w, r, &message) {
		return
	}
	reports, err := decodeReports(message.Reports, server.Client.directory.clock.Now())
	if err == nil && len(message.Relays) > maxReportRelays {
		err = &MessageError{field: "relays"}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	server.Crashes.Receive(reports)
	missed := server.Client.spread(context.WithoutCancel(r.Context()), message.Reports, server.Client.directory.named(message.Relays))
	server.reply(w, &reportsResponse{Missed: missed})
}

// handleFetchReports serves what this instance knows of crashes.
func (server *Server) handleFetchReports(w http.ResponseWriter, _ *http.Request) {
	server.reply(w, &fetchReportsResponse{Reports: encodeReports(server.Crashes.Reports(maxReports), server.Client.directory.clock.Now())})
}
