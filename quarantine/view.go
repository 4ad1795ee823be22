package quarantine

import (
	"slices"
)

// Crashes returns the reports of all crashes that are remembered, the latest first, at
// most limit of them.
func (records *Records) Crashes(limit int) []Report {
	return records.reports(limit, func(attempt attempt) bool { return attempt.state == StateCrashed })
}

// Reports returns the reports of all that is remembered, the latest first, at most limit
// of them.
func (records *Records) Reports(limit int) []Report {
	return records.reports(limit, func(attempt attempt) bool { return true })
}

// reports returns the reports of the attempts that filter selects, the latest first.
func (records *Records) reports(limit int, filter func(attempt) bool) []Report {
	records.mu.Lock()
	defer records.mu.Unlock()
	now := records.clock.Now()
	var reports []Report
	for _, key := range records.requests.Keys() {
		known, _ := records.requests.Peek(key)
		for _, attempt := range known.attempts {
			if filter(attempt) && now.Sub(attempt.at) < Lifetime {
				reports = append(reports, attempt.report(key))
			}
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return b.At.Compare(a.At) })
	return reports[:min(len(reports), limit)]
}

// Describe returns a description of each endpoint under a request.
func (records *Records) Describe(key Key) []string {
	records.mu.Lock()
	defer records.mu.Unlock()
	known, ok := records.requests.Peek(key)
	if !ok {
		return nil
	}
	var descriptions []string
	for _, attempt := range known.attempts {
		descriptions = append(descriptions, attempt.String())
	}
	return descriptions
}

// View describes a request in a state dump. Each endpoint is described by its
// incarnation, its state under the request, and the source of that.
type View struct {
	Identity  string   `json:"identity"`
	Crashes   int      `json:"crashes"`
	Endpoints []string `json:"endpoints"`
}

// Views returns what is known of the requests, at most limit of them, those under which
// most endpoints crashed first.
func (records *Records) Views(limit int) []View {
	records.mu.Lock()
	defer records.mu.Unlock()
	views := make([]View, 0, records.requests.Len())
	for _, key := range records.requests.Keys() {
		known, _ := records.requests.Peek(key)
		view := View{Identity: key.String(), Crashes: known.crashed()}
		for _, attempt := range known.attempts {
			view.Endpoints = append(view.Endpoints, attempt.String())
		}
		views = append(views, view)
	}
	slices.SortStableFunc(views, func(a, b View) int { return b.Crashes - a.Crashes })
	return views[:min(len(views), limit)]
}
