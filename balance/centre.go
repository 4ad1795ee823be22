package balance

import "time"

const (
	// centreTTL is the time over which the reports from a data centre lose their
	// weight. An instance of a larger fleet sends some seven requests a second.
	centreTTL = 2 * time.Second
	// centreReportWeight is the weight of one report, if there are many recent
	// ones. Fewer have equal weights, since the first one may be of a busy engine
	// of a data centre with free slots.
	centreReportWeight = 0.1
	// minCentreReports is the number of recent reports from the local data centre
	// from which on its mean load counts. Fewer may all be of one endpoint.
	minCentreReports = 8
	// remoteRoundTrip is the part of remoteCost that no wait outweighs.
	remoteRoundTrip = 2 * time.Millisecond
)

// centreLoad holds the mean loads that the endpoints of a service report in one
// data centre, as shares of their slots.
type centreLoad struct {
	// otherLoad is the load by requests of other instances, waiting the number of
	// requests that wait for a slot.
	otherLoad, waiting float64
	// reports counts the reports since the last time without recent ones.
	reports   int
	updatedAt time.Time
}

// observe records a load report.
func (centre *centreLoad) observe(otherLoad, waiting float64, now time.Time) {
	confidence := centre.confidence(now)
	if confidence == 0 {
		centre.reports = 0
	}
	centre.reports++
	weight := max(centreReportWeight, 1-confidence, 1/float64(centre.reports))
	centre.otherLoad += weight * (otherLoad - centre.otherLoad)
	centre.waiting += weight * (waiting - centre.waiting)
	centre.updatedAt = now
}

// confidence returns the weight of the reports at now, from 1 for current ones to
// 0 after centreTTL.
func (centre *centreLoad) confidence(now time.Time) float64 {
	return max(1-float64(now.Sub(centre.updatedAt))/float64(centreTTL), 0)
}

// locality holds what the costs of local and remote endpoints depend on, for the
// requests of one data centre. It is determined once for each request, since the
// candidates may be many.
type locality struct {
	stats *serviceStats
	local string
	// localLoad is the mean load by requests of other instances at local endpoints,
	// as a share of the slots.
	localLoad float64
	// localWaiting is the mean number of requests that wait at local endpoints as a
	// share of the slots, 0 while that does not affect remote costs.
	localWaiting float64
	// remoteCosts holds the costs of the data centres that were asked for.
	remoteCosts []centreCost
}

// centreCost is the cost of crossing to a data centre.
type centreCost struct {
	name string
	cost time.Duration
}

// locality returns the locality of requests that data centre local received.
func (serviceStats *serviceStats) locality(local string, now time.Time) locality {
	locality := locality{stats: serviceStats, local: local, localLoad: serviceStats.otherLoad}
	centre := serviceStats.centres[local]
	confidence := centre.confidence(now)
	if centre.reports < minCentreReports || centre.waiting*confidence*float64(serviceStats.serviceTime) < float64(remoteCost) {
		return locality
	}
	locality.localLoad += (centre.otherLoad - serviceStats.otherLoad) * confidence
	locality.localWaiting = centre.waiting
	return locality
}

// endpointsIn returns the mean load by requests of other instances at endpoints in
// a data centre, as a share of the slots, and the cost of crossing to it.
//
// While requests wait for less than remoteCost in the local data centre, the load
// is that of the service, and the cost remoteCost. Otherwise local endpoints have
// the mean load of their data centre, and the cost is scaled by the ratio of the
// remote wait to the local one: it keeps no request waiting where the other data
// centre has free slots, and is unchanged where all are overloaded.
func (locality *locality) endpointsIn(centre string, now time.Time) (otherLoad float64, cost time.Duration) {
	switch {
	case centre == locality.local:
		return locality.localLoad, 0
	case locality.localWaiting == 0:
		return locality.stats.otherLoad, remoteCost
	}
	for _, remote := range locality.remoteCosts {
		if remote.name == centre {
			return locality.stats.otherLoad, remote.cost
		}
	}
	cost = locality.remoteCost(centre, now)
	locality.remoteCosts = append(locality.remoteCosts, centreCost{name: centre, cost: cost})
	return locality.stats.otherLoad, cost
}

// remoteCost returns the cost of crossing to a data centre while requests wait in
// the local one. What is not known of the remote wait counts as the local one. With
// free slots assumed instead, more than half of the requests changed the data centre
// in an overload of all of them, and waited longer, since an instance that sends to
// more engines knows less of the load of each.
func (locality *locality) remoteCost(centre string, now time.Time) time.Duration {
	remote := locality.stats.centres[centre]
	confidence := remote.confidence(now)
	ratio := 1 - confidence + confidence*remote.waiting/locality.localWaiting
	return max(time.Duration(min(ratio, 1)*float64(remoteCost)), remoteRoundTrip)
}
