package client

import (
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

const (
	// maxEndpoints is the largest number of endpoints of a class that is accepted as plausible.
	maxEndpoints = 20_000
	// maxWeight is the largest weight of an endpoint, as in the runtime API of a proxy.
	maxWeight = 256
	// olderListDelay is the time without an applied update after which older state is accepted: the source of the
	// endpoint list has restarted its revisions, or all controllers have lost the newer list.
	olderListDelay = 10 * fleet.Second
)

// updateVerdict is the result of passing an update to the cache.
type updateVerdict uint8

const (
	updateApplied   updateVerdict = iota
	updateHeartbeat               // nothing has changed
	updateOutOfSync               // does not continue the cached version: the complete state is needed
	updateOutdated                // older than the cached state: another controller is needed
	updateInvalid                 // violates a limit or does not match its digest
)

// cachedClass is the cached table of a class.
type cachedClass struct {
	endpoints      map[string]service.Endpoint
	published      bool // the watched controller has published the class
	admissionLimit int
	retry          fleet.RetryMode
}

func (c *cachedClass) clone() *cachedClass {
	copied := *c
	copied.endpoints = maps.Clone(c.endpoints)
	return &copied
}

// digest returns the sum of the endpoints' digests.
func (c *cachedClass) digest() tableversion.Digest {
	sum := tableversion.Digest(0)
	for _, endpoint := range c.endpoints {
		sum += tableversion.EntryDigest(endpoint.Server, endpoint.Weight)
	}
	return sum
}

// tableCache is the cached state of a zone. It applies an update completely or not at all, and rejects state that is
// older than the cached one while updates are recent. It does no I/O and reads no clock.
type tableCache struct {
	classes          map[string]*cachedClass
	openServers      map[string]bool // servers usable for classes that are not published; nil: all
	controller       string
	version          tableversion.Version
	revision         uint64                          // of the endpoint list
	newestVersions   map[string]tableversion.Version // by controller
	updatedAt        fleet.Time                      // of the last applied update or heartbeat
	sawNewerProtocol bool
}

func newTableCache() *tableCache {
	return &tableCache{classes: map[string]*cachedClass{}, newestVersions: map[string]tableversion.Version{}}
}

// current returns the cached version and the name of the controller that sent it.
func (t *tableCache) current() (controller string, version tableversion.Version) {
	return t.controller, t.version
}

// listRevision returns the revision of the endpoint list that the cached tables were decided by.
func (t *tableCache) listRevision() uint64 { return t.revision }

// newerProtocol reports whether a controller has used a newer minor version of the protocol, whose additional fields
// are skipped.
func (t *tableCache) newerProtocol() bool { return t.sawNewerProtocol }

// watchFrom returns the version from which to watch a controller: the cached one if that controller sent it, else
// NoVersion, which requests the complete state.
func (t *tableCache) watchFrom(controller string) tableversion.Version {
	if controller == t.controller {
		return t.version
	}
	return tableversion.NoVersion
}

// requestComplete makes the next watch request the complete state.
func (t *tableCache) requestComplete() { t.version = tableversion.NoVersion }

// update applies an update. The reason explains why one was not applied; it is "" for applied ones and heartbeats.
func (t *tableCache) update(now fleet.Time, u *service.Update) (verdict updateVerdict, reason string) {
	t.sawNewerProtocol = t.sawNewerProtocol || u.Minor > service.Minor
	if reason := t.outdatedReason(now, u); reason != "" {
		return updateOutdated, reason
	}
	if u.Heartbeat {
		return t.applyHeartbeat(now, u)
	}
	complete := u.From == tableversion.NoVersion
	if !complete && (u.Controller != t.controller || u.From != t.version) {
		reason := fmt.Sprintf("update of controller %s starts at version %s, but version %s of controller %s is cached",
			u.Controller, u.From, t.version, t.controller)
		return updateOutOfSync, reason
	}
	classes := maps.Clone(t.classes)
	for i := range u.Classes {
		class, verdict, reason := t.applyClass(i, &u.Classes[i], complete)
		if verdict != updateApplied {
			return verdict, reason
		}
		classes[u.Classes[i].Class] = class
	}
	if complete {
		deleteMissing(classes, u.Classes)
	}
	t.classes = classes
	t.controller = u.Controller
	t.version = u.To
	t.revision = u.ListRevision
	t.updatedAt = now
	t.newestVersions[u.Controller] = u.To
	t.setOpenServers(u)
	return updateApplied, ""
}

// outdatedReason returns why an update is older than the state applied before, or "" if it is not. Older state is
// accepted once no update has been applied for olderListDelay.
func (t *tableCache) outdatedReason(now fleet.Time, u *service.Update) string {
	if t.updatedAt == 0 || now >= t.updatedAt+olderListDelay {
		return ""
	}
	if last := t.newestVersions[u.Controller]; u.To.Compare(last) < 0 {
		return fmt.Sprintf("controller %s sent version %s after the newer version %s", u.Controller, u.To, last)
	}
	if u.ListRevision < t.revision {
		return fmt.Sprintf(
			"controller %s uses endpoint list revision %d, older than the applied revision %d",
			u.Controller,
			u.ListRevision,
			t.revision,
		)
	}
	return ""
}

func (t *tableCache) applyHeartbeat(now fleet.Time, u *service.Update) (verdict updateVerdict, reason string) {
	if u.Controller != t.controller || u.To != t.version {
		reason := fmt.Sprintf("heartbeat of controller %s is for version %s, but version %s of controller %s is cached",
			u.Controller, u.To, t.version, t.controller)
		return updateOutOfSync, reason
	}
	t.updatedAt = now
	t.revision = u.ListRevision
	return updateHeartbeat, ""
}

// applyClass returns the state of class i of an update after the update. It does not change the cached class.
func (t *tableCache) applyClass(
	i int,
	table *service.ClassTable,
	complete bool,
) (*cachedClass, updateVerdict, string) {
	if table.Class == "" || len(table.Endpoints) > maxEndpoints || table.Retry > fleet.RetryTwice {
		reason := fmt.Sprintf(
			"classes[%d]: invalid class %q (want a non-empty name): %d endpoints (at most %d), retry mode %d (at most %d)",
			i, table.Class, len(table.Endpoints), maxEndpoints, table.Retry, fleet.RetryTwice)
		return nil, updateInvalid, reason
	}
	class := t.classes[table.Class]
	switch {
	case class == nil,
		table.Published && (complete || !class.published): // the table replaces that of another controller
		class = &cachedClass{endpoints: map[string]service.Endpoint{}}
	default:
		class = class.clone()
	}
	class.published = table.Published
	class.admissionLimit = table.AdmissionLimit
	class.retry = table.Retry
	if !table.Published { // the cached endpoints stay in use
		return class, updateApplied, ""
	}
	for k, endpoint := range table.Endpoints {
		if !validEndpoint(endpoint) {
			reason := fmt.Sprintf("classes[%d].endpoints[%d]: invalid endpoint: server %q, address %q, weight %d (limit %d)",
				i, k, endpoint.Server, endpoint.Addr, endpoint.Weight, maxWeight)
			return nil, updateInvalid, reason
		}
		if endpoint.Weight == 0 {
			delete(class.endpoints, endpoint.Server)
		} else {
			class.endpoints[endpoint.Server] = endpoint
		}
	}
	if sum := class.digest(); sum != table.Digest {
		if complete {
			return nil, updateInvalid, fmt.Sprintf(
				"classes[%d]: digest is %s, but the digests of its endpoints sum to %s",
				i,
				table.Digest,
				sum,
			)
		}
		reason := fmt.Sprintf("class %s: digest of the cached table is %s after the update, want %s",
			table.Class, sum, table.Digest)
		return nil, updateOutOfSync, reason
	}
	return class, updateApplied, ""
}

func validEndpoint(e service.Endpoint) bool {
	switch {
	case e.Server == "" || e.Weight < 0 || e.Weight > maxWeight:
		return false
	case e.Weight > 0 && e.Addr == "":
		return false
	}
	return true
}

// deleteMissing deletes the classes that are not part of a complete state.
func deleteMissing(classes map[string]*cachedClass, tables []service.ClassTable) {
	maps.DeleteFunc(classes, func(name string, _ *cachedClass) bool {
		return !slices.ContainsFunc(tables, func(t service.ClassTable) bool { return t.Class == name })
	})
}

func (t *tableCache) setOpenServers(u *service.Update) {
	t.openServers = nil
	if !u.RestrictsToOpen {
		return
	}
	t.openServers = map[string]bool{}
	for _, server := range u.OpenServers {
		t.openServers[server] = true
	}
}

// classEndpoints are the endpoints and limits for the requests of a class.
type classEndpoints struct {
	endpoints      []service.Endpoint // ordered by server name
	admissionLimit int
	retry          fleet.RetryMode
}

// endpoints returns the endpoints that requests of a class may use, and whether the class is known. For a class that
// the controller has not published these are the cached endpoints of open servers, or all cached endpoints if none is
// open.
func (t *tableCache) endpoints(name string) (_ classEndpoints, known bool) {
	class := t.classes[name]
	if class == nil {
		return classEndpoints{}, false
	}
	result := classEndpoints{admissionLimit: class.admissionLimit, retry: class.retry}
	servers := slices.Sorted(maps.Keys(class.endpoints))
	if !class.published && t.openServers != nil {
		open := slices.DeleteFunc(slices.Clone(servers), func(server string) bool { return !t.openServers[server] })
		if len(open) > 0 {
			servers = open
		}
	}
	for _, server := range servers {
		result.endpoints = append(result.endpoints, class.endpoints[server])
	}
	return result, true
}
