package service

import (
	"maps"
	"slices"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
)

// maxHistoryEntries bounds the number of changed entries in the history of a zone. It covers several minutes of
// frequent changes with 700 servers.
const maxHistoryEntries = 20_000

// viewEntry is the entry of a server in the table of a class.
type viewEntry struct {
	addr   string
	weight int16
	state  reconcile.State
}

// usableWeight returns the weight that clients use for the server, 0 if it is not ready.
func (e viewEntry) usableWeight() int {
	if e.state == reconcile.StateReady {
		return int(e.weight)
	}
	return 0
}

// classView is the table and the admission of a class.
type classView struct {
	name      string
	published bool
	entries   map[string]viewEntry
	admission reconcile.Admission
	digest    tableversion.Digest
}

// viewChange records which entries and admissions a version changed, but not their values.
type viewChange struct {
	to         tableversion.Version
	servers    []map[string]bool // by class
	admissions []bool            // by class
	size       int               // number of changed entries and admissions
}

// View holds the published tables of a zone and the history of their versions, from which it computes updates. It does
// no I/O and reads no clock. It is not safe for concurrent use.
type View struct {
	version     tableversion.Version
	classes     []*classView
	history     []viewChange // oldest first, without gaps
	historySize int
	state       PublishedState
	template    Update // fields that all updates have in common
}

// NewView returns a view without published classes. Its versions belong to the given epoch.
func NewView(controller, zone string, epoch uint64, classes []string) *View {
	v := &View{
		version:  tableversion.Version{Epoch: epoch},
		template: Update{Minor: Minor, Controller: controller, Zone: zone},
	}
	for _, class := range classes {
		v.classes = append(v.classes, &classView{
			name:      class,
			entries:   map[string]viewEntry{},
			admission: reconcile.Admission{Limit: -1},
		})
	}
	return v
}

// Version returns the current version.
func (v *View) Version() tableversion.Version { return v.version }

// AllPublished reports whether all classes are published.
func (v *View) AllPublished() bool {
	return !slices.ContainsFunc(v.classes, func(c *classView) bool { return !c.published })
}

// AnyPublished reports whether at least one class is published.
func (v *View) AnyPublished() bool {
	return slices.ContainsFunc(v.classes, func(c *classView) bool { return c.published })
}

// ServerLookup returns the name and the address, host:port, of a server.
type ServerLookup func(fleet.ServerID) (name, addr string)

// Apply applies the changes of a message as one new version, and reports whether there is one. Changes that cannot be
// applied are returned as the failures that a proxy would report.
func (v *View) Apply(changes []reconcile.Change, lookup ServerLookup) (failures []reconcile.Failure, changed bool) {
	next := v.newChange()
	for i := range changes {
		if failure, ok := v.applyOne(&changes[i], lookup, &next); !ok {
			failure.Index = i
			failures = append(failures, failure)
		}
	}
	for i, class := range v.classes {
		if len(next.servers[i]) > 0 {
			class.summarize()
		}
	}
	return failures, v.finish(next)
}

// applyOne applies one change and records it in next. The failure is valid only if ok is false.
func (v *View) applyOne(
	change *reconcile.Change,
	lookup ServerLookup,
	next *viewChange,
) (_ reconcile.Failure, ok bool) {
	if int(change.Class) >= len(v.classes) {
		return reconcile.Failure{Text: "class is not configured"}, false
	}
	class := v.classes[change.Class]
	switch change.Kind {
	case reconcile.UpdateVersion:
		return reconcile.Failure{}, true
	case reconcile.UpdateAdmission:
		if class.admission != change.Admission {
			class.admission = change.Admission
			next.admissions[change.Class] = true
		}
		return reconcile.Failure{}, true
	}
	server, addr := lookup(change.Server)
	_, exists := class.entries[server]
	switch {
	case change.Kind == reconcile.AddEntry && exists:
		return reconcile.Failure{Kind: reconcile.FailureEntryExists, Text: "entry already exists"}, false
	case change.Kind != reconcile.AddEntry && !exists:
		return reconcile.Failure{Kind: reconcile.FailureEntryMissing, Text: "entry does not exist"}, false
	case change.Kind == reconcile.DeleteEntry:
		delete(class.entries, server)
	default:
		class.setEntry(server, addr, change)
	}
	next.servers[change.Class][server] = true
	return reconcile.Failure{}, true
}

// setEntry adds or updates an entry. A new entry without a state is ready.
func (c *classView) setEntry(server, addr string, change *reconcile.Change) {
	entry, exists := c.entries[server]
	if !exists || change.AddressChanged {
		entry.addr = addr
	}
	if change.Weight >= 0 {
		entry.weight = change.Weight
	}
	if change.State != reconcile.StateUnchanged {
		entry.state = change.State
	} else if !exists {
		entry.state = reconcile.StateReady
	}
	c.entries[server] = entry
}

// summarize updates the digest of the class, and marks the class as published once it has a usable entry.
func (c *classView) summarize() {
	c.digest = 0
	for server, entry := range c.entries {
		c.digest += tableversion.EntryDigest(server, entry.usableWeight())
		c.published = c.published || entry.usableWeight() > 0
	}
}

func (v *View) newChange() viewChange {
	change := viewChange{admissions: make([]bool, len(v.classes))}
	for range v.classes {
		change.servers = append(change.servers, map[string]bool{})
	}
	return change
}

// finish adds a change to the history as a new version, unless it is empty.
func (v *View) finish(change viewChange) (changed bool) {
	for i := range v.classes {
		change.size += len(change.servers[i])
		if change.admissions[i] {
			change.size++
		}
	}
	if change.size == 0 {
		return false
	}
	v.addVersion(change)
	return true
}

// addVersion adds a change to the history as a new version, and removes old changes beyond maxHistoryEntries.
func (v *View) addVersion(change viewChange) {
	v.version = v.version.Next()
	change.to = v.version
	v.history = append(v.history, change)
	v.historySize += change.size
	for v.historySize > maxHistoryEntries && len(v.history) > 1 {
		v.historySize -= v.history[0].size
		v.history = v.history[1:]
	}
}

// SetState replaces the state of the endpoint list. While some class is unpublished, clients use the table that they
// have for it, restricted to the open servers; a change of these then creates a new version. It reports whether it did.
func (v *View) SetState(state PublishedState) (changed bool) {
	changed = !v.AllPublished() && !slices.Equal(state.OpenServers, v.state.OpenServers)
	v.state = state
	v.template.ListRevision = state.ListRevision
	v.template.Live = state.Live
	if changed {
		v.addVersion(v.newChange())
	}
	return changed
}

// Heartbeat returns an update that confirms the current version.
func (v *View) Heartbeat() Update {
	u := v.template
	u.From = v.version
	u.To = v.version
	u.Heartbeat = true
	return u
}

// Since returns the changes since a version, or the complete tables if the version is NoVersion or not in the history.
func (v *View) Since(from tableversion.Version) Update {
	u := v.template
	u.To = v.version
	if !v.AllPublished() {
		u.RestrictsToOpen = true
		u.OpenServers = v.state.OpenServers
	}
	position := slices.IndexFunc(v.history, func(c viewChange) bool { return c.to == from })
	known := position >= 0 || from == v.version
	if !known || from == tableversion.NoVersion {
		for _, class := range v.classes {
			u.Classes = append(u.Classes, class.completeTable())
		}
		return u
	}
	u.From = from
	for i, class := range v.classes {
		servers := map[string]bool{}
		admissionChanged := false
		for _, change := range v.history[position+1:] {
			admissionChanged = admissionChanged || change.admissions[i]
			maps.Copy(servers, change.servers[i])
		}
		if len(servers) > 0 || admissionChanged {
			u.Classes = append(u.Classes, class.changedTable(servers))
		}
	}
	return u
}

// completeTable returns a table with all usable entries.
func (c *classView) completeTable() ClassTable {
	table := c.emptyTable()
	for server, entry := range c.entries {
		if weight := entry.usableWeight(); weight > 0 && c.published {
			table.Endpoints = append(table.Endpoints, Endpoint{server, entry.addr, weight})
		}
	}
	table.sort()
	return table
}

// changedTable returns a table with the entries of the given servers only. Removed or unusable ones have weight 0.
func (c *classView) changedTable(servers map[string]bool) ClassTable {
	table := c.emptyTable()
	for server := range servers {
		entry := c.entries[server]
		table.Endpoints = append(table.Endpoints, Endpoint{server, entry.addr, entry.usableWeight()})
	}
	table.sort()
	return table
}

// emptyTable returns a table without entries.
func (c *classView) emptyTable() ClassTable {
	table := ClassTable{
		Class:          c.name,
		Published:      c.published,
		AdmissionLimit: int(c.admission.Limit),
		Retry:          c.admission.Retry,
		Digest:         c.digest,
	}
	if !c.admission.Known {
		table.AdmissionLimit = -1
	}
	return table
}

func (t *ClassTable) sort() {
	slices.SortFunc(t.Endpoints, func(a, b Endpoint) int { return strings.Compare(a.Server, b.Server) })
}
