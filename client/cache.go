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
	// maxEndpoints bounds a class: more is no table of servers.
	maxEndpoints = 20_000
	// maxWeight bounds an endpoint's weight, as in the runtime API of a proxy.
	maxWeight = 256
	// olderListDelay without an update makes an older endpoint list acceptable: its source has begun anew, or all
	// controllers have lost it.
	olderListDelay = 10 * fleet.Second
)

// updateVerdict is what an update means for the cache.
type updateVerdict uint8

const (
	updateApplied   updateVerdict = iota
	updateHeartbeat               // nothing has changed
	updateOutOfSync               // it does not continue the cached version: ask for the complete state
	updateOutdated                // the controller knows less than another one has sent: ask another one
	updateInvalid
)

// cachedClass is the cached table of a class.
type cachedClass struct {
	endpoints      map[string]service.Endpoint
	published      bool // by the controller that is watched
	admissionLimit int
	retry          fleet.RetryMode
}

func (c *cachedClass) clone() *cachedClass {
	copied := *c
	copied.endpoints = maps.Clone(c.endpoints)
	return &copied
}

// digest sums the digests of the endpoints.
func (c *cachedClass) digest() tableversion.Digest {
	sum := tableversion.Digest(0)
	for _, endpoint := range c.endpoints {
		sum += tableversion.EntryDigest(endpoint.Server, endpoint.Weight)
	}
	return sum
}

// tableCache is the cached state of a zone: it applies updates completely or not at all, and never goes back to an
// older endpoint list. It does no I/O and reads no clock.
type tableCache struct {
	classes          map[string]*cachedClass
	openServers      map[string]bool // nil: all servers are open
	controller       string
	version          tableversion.Version
	revision         uint64                          // of the endpoint list
	newestVersions   map[string]tableversion.Version // by controller
	updatedAt        fleet.Time                      // of the last update that counted
	sawNewerProtocol bool
}

func newTableCache() *tableCache {
	return &tableCache{classes: map[string]*cachedClass{}, newestVersions: map[string]tableversion.Version{}}
}

// current returns the cached version and its controller.
func (t *tableCache) current() (controller string, version tableversion.Version) {
	return t.controller, t.version
}

// listRevision returns the revision of the endpoint list by which the tables were decided.
func (t *tableCache) listRevision() uint64 { return t.revision }

// newerProtocol reports whether a controller speaks a newer version of the protocol; what is not known here is skipped.
func (t *tableCache) newerProtocol() bool { return t.sawNewerProtocol }

// watchFrom returns the version from which to watch a controller: what is cached of it, else the complete state.
func (t *tableCache) watchFrom(controller string) tableversion.Version {
	if controller == t.controller {
		return t.version
	}
	return tableversion.NoVersion
}

// requestComplete lets the next watch ask for the complete state.
func (t *tableCache) requestComplete() { t.version = tableversion.NoVersion }

// update applies an update. The reason says what was wrong with one that was not applied.
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

// applyClass returns a class as an update leaves it. The cached one is not changed.
func (t *tableCache) applyClass(
	i int,
	table *service.ClassTable,
	complete bool,
) (*cachedClass, updateVerdict, string) {
	if table.Class == "" || len(table.Endpoints) > maxEndpoints || table.Retry > fleet.RetryTwice {
		reason := fmt.Sprintf("classes[%d]: invalid class %q: %d endpoints (limit %d), retry mode %d (limit %d)",
			i, table.Class, len(table.Endpoints), maxEndpoints, table.Retry, fleet.RetryTwice)
		return nil, updateInvalid, reason
	}
	class := t.classes[table.Class]
	switch {
	case class == nil,
		table.Published && (complete || !class.published): // what is cached came from another controller
		class = &cachedClass{endpoints: map[string]service.Endpoint{}}
	default:
		class = class.clone()
	}
	class.published = table.Published
	class.admissionLimit = table.AdmissionLimit
	class.retry = table.Retry
	if !table.Published { // what is cached stays in use
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

// deleteMissing deletes the classes that a complete state does not have.
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

// classEndpoints is what the requests of a class may use.
type classEndpoints struct {
	endpoints      []service.Endpoint // by server
	admissionLimit int
	retry          fleet.RetryMode
}

// endpoints returns what a class's requests may use, and whether the class is known. Of a class that the controller
// has not published that is the cached table without servers that are not open, unless none would be left.
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
