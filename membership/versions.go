package membership

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxConfirmationGap is the longest time between two confirmations of the list
	// in which no endpoint is taken to have come and gone unseen. While the store is
	// available the list is confirmed about once a second.
	maxConfirmationGap = 3 * time.Second
	// MaxVersionAge is how long a version is remembered after its last endpoint
	// left the list, and the longest period of a SoleVersion.
	MaxVersionAge = time.Hour
)

// serviceVersions holds the software versions that endpoints of a service have or
// had.
type serviceVersions struct {
	// listed counts the endpoints of each version. unlistedAt is when the last one
	// of a version was found to have left; the zero time until that was noticed.
	listed     map[string]int
	unlistedAt map[string]time.Time
	// proven is the only version since provenSince, from before the list was
	// followed; see List.ExtendSole. The zero time means that nothing is proven.
	proven      string
	provenSince time.Time
}

// SoleVersion is the only software version that the endpoints of a service had
// during a period.
type SoleVersion struct {
	Service, Version string
	Period           time.Duration
}

// versionsOf returns the versions of a service.
func (list *List) versionsOf(service string) *serviceVersions {
	versions, ok := list.versions[service]
	if !ok {
		versions = &serviceVersions{listed: map[string]int{}, unlistedAt: map[string]time.Time{}}
		list.versions[service] = versions
	}
	return versions
}

// add records an endpoint of a version.
func (versions *serviceVersions) add(version string) {
	versions.listed[version]++
	delete(versions.unlistedAt, version)
}

// drop records that an endpoint of a version left the list.
func (versions *serviceVersions) drop(version string) {
	if versions.listed[version]--; versions.listed[version] > 0 {
		return
	}
	delete(versions.listed, version)
	versions.unlistedAt[version] = time.Time{}
}

// expire drops the versions that left the list MaxVersionAge ago, and starts to
// count the age of those that have left it since the last call.
func (versions *serviceVersions) expire(now time.Time) {
	for version, at := range versions.unlistedAt {
		switch {
		case at.IsZero():
			versions.unlistedAt[version] = now
		case now.Sub(at) > MaxVersionAge:
			delete(versions.unlistedAt, version)
		}
	}
}

// Confirm records that the list was known to be current at the given time. After a
// gap, in which endpoints may have come and gone unseen, SoleVersion knows nothing
// of the time before.
func (list *List) Confirm(at time.Time) { list.confirm(at, false) }

// ConfirmChanges is Confirm for a list that has received each change since the last
// confirmation, so that no endpoint came and went unseen however long ago that was.
func (list *List) ConfirmChanges(at time.Time) { list.confirm(at, true) }

// confirm is Confirm, and ConfirmChanges if allChanges is set.
func (list *List) confirm(at time.Time, allChanges bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.confirmedAt.IsZero() || !allChanges && elapsed(list.confirmedAt, at) > maxConfirmationGap {
		list.followedSince = at
		for _, versions := range list.versions {
			versions.proven, versions.provenSince = "", time.Time{}
		}
	}
	if at.After(list.confirmedAt) {
		list.confirmedAt = at
	}
}

// FollowedSince returns the time since which no change of the list was missed, and
// the zero time before the first confirmation.
func (list *List) FollowedSince() time.Time {
	list.mu.Lock()
	defer list.mu.Unlock()
	return list.followedSince
}

// elapsed returns the time between two moments, including a suspension of the machine
// that the monotonic clock may not count.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// isCurrent reports whether the list is known to be current at now. The caller holds
// mu.
func (list *List) isCurrent(now time.Time) bool {
	return !list.storeUnavailable && elapsed(list.confirmedAt, now) <= maxConfirmationGap
}

// knownSince returns the time since which each endpoint of another version than the
// given one would be known. The caller holds mu.
func (list *List) knownSince(versions *serviceVersions, version string) time.Time {
	if versions.proven == version && !versions.provenSince.IsZero() && versions.provenSince.Before(list.followedSince) {
		return versions.provenSince
	}
	return list.followedSince
}

// SoleVersion returns the software version of the endpoints of a service, if none
// was listed with another version during the period before now. It returns false
// if there was, if that is not known for all of the period, or if service is empty.
func (list *List) SoleVersion(service string, period time.Duration, now time.Time) (version string, ok bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	versions, known := list.versions[service]
	if !known || service == "" || period > MaxVersionAge || !list.isCurrent(now) {
		return "", false
	}
	versions.expire(now)
	n := 0
	for listed := range versions.listed {
		version = listed
		n++
	}
	for unlisted, at := range versions.unlistedAt {
		if now.Sub(at) <= period {
			version = unlisted
			n++
		}
	}
	if n != 1 || now.Sub(list.knownSince(versions, version)) < period {
		return "", false
	}
	return version, true
}

// SoleVersions returns, for each service whose endpoints have one version now, the
// longest period up to now for which SoleVersion returns it. It returns none while
// the list is not known to be current.
func (list *List) SoleVersions(now time.Time) []SoleVersion {
	list.mu.Lock()
	defer list.mu.Unlock()
	var soles []SoleVersion
	for service, versions := range list.versions {
		if service == "" || len(versions.listed) != 1 || !list.isCurrent(now) {
			continue
		}
		versions.expire(now)
		sole := SoleVersion{Service: service}
		for version := range versions.listed {
			sole.Version = version
		}
		sole.Period = min(now.Sub(list.knownSince(versions, sole.Version)), MaxVersionAge)
		for _, at := range versions.unlistedAt {
			sole.Period = min(sole.Period, now.Sub(at)-1)
		}
		if sole.Period > 0 {
			soles = append(soles, sole)
		}
	}
	slices.SortFunc(soles, func(a, b SoleVersion) int { return strings.Compare(a.Service, b.Service) })
	return soles
}

// ExtendSole records that sole holds up to now, as proven from elsewhere. The proof
// must reach up to the time since which the list is followed, which must still be
// followedSince; the call has no effect if changes of the list were missed meanwhile.
func (list *List) ExtendSole(sole SoleVersion, followedSince, now time.Time) {
	list.mu.Lock()
	defer list.mu.Unlock()
	versions, known := list.versions[sole.Service]
	if !known || sole.Period <= 0 || sole.Period > MaxVersionAge || !list.followedSince.Equal(followedSince) {
		return
	}
	versions.proven, versions.provenSince = sole.Version, now.Add(-sole.Period)
}

// IsOutdated reports whether the list holds a later incarnation of the endpoint
// with another version than the given one. The time at which it restarted is not
// known, so neither is the version with which it served a request around then.
func (list *List) IsOutdated(incarnation, version string) bool {
	id, _, _ := strings.Cut(incarnation, "@")
	list.mu.Lock()
	defer list.mu.Unlock()
	endpoint, ok := list.endpoints[id]
	return ok && incarnation != "" && endpoint.Incarnation() != incarnation && endpoint.Version != version
}

// OtherVersion returns a listed version of the service other than the given one,
// and false if there is none.
func (list *List) OtherVersion(service, version string) (other string, ok bool) {
	list.mu.Lock()
	defer list.mu.Unlock()
	versions, known := list.versions[service]
	if !known {
		return "", false
	}
	for other := range versions.listed {
		if other != version {
			return other, true
		}
	}
	return "", false
}
