package service

import (
	"maps"
	"slices"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/tableversion"
)

const historyLines = 20_000 // of all changes of a zone that are kept: some minutes of a rough day at 700 servers

// cell is what the zone's one proxy holds of a server in a class.
type cell struct {
	addr   string
	weight int16
	state  reconcile.State
}

func (c cell) usable() int {
	if c.state == reconcile.StateReady {
		return int(c.weight)
	}
	return 0
}

type classView struct {
	name   string
	laid   bool
	cells  map[string]cell
	level  reconcile.Admission
	digest tableversion.Digest
}

// change is what a version changed.
type change struct {
	to      tableversion.Version
	servers []map[string]bool // by class
	levels  []bool
	size    int
}

// View is what the visits of a zone go by, with its versions. It is pure.
type View struct {
	zone    string
	version tableversion.Version
	classes []*classView
	history []change // oldest first, without gaps
	kept    int
	facts   PublishedState
	origin  Update // what all updates say alike
}

// NewView makes a view in an epoch in which nothing is laid.
func NewView(governor, zone string, epoch uint64, classes []string) *View {
	v := &View{zone: zone, version: tableversion.Version{Epoch: epoch}, origin: Update{Minor: Minor, Controller: governor, Zone: zone}}
	for _, c := range classes {
		v.classes = append(v.classes, &classView{name: c, cells: map[string]cell{}, level: reconcile.Admission{Limit: -1}})
	}
	return v
}

// Version tells which one this is.
func (v *View) Version() tableversion.Version { return v.version }

// Laid tells whether all classes are.
func (v *View) Laid() bool {
	return !slices.ContainsFunc(v.classes, func(c *classView) bool { return !c.laid })
}

// Any tells whether some class is.
func (v *View) Any() bool {
	return slices.ContainsFunc(v.classes, func(c *classView) bool { return c.laid })
}

// Name gives name and address of a server.
type Name func(fleet.ServerID) (name, addr string)

// Apply takes a message's changes in and makes the next version of them. What could not be done is told as a proxy would tell it.
func (v *View) Apply(changes []reconcile.Change, name Name) (failures []reconcile.Failure, changed bool) {
	one := v.begin()
	for i, ch := range changes {
		if int(ch.Class) >= len(v.classes) {
			failures = append(failures, reconcile.Failure{Index: i, Text: "no such class"})
			continue
		}
		c := v.classes[ch.Class]
		if ch.Kind == reconcile.UpdateVersion {
			continue
		}
		if ch.Kind == reconcile.UpdateAdmission {
			if c.level != ch.Admission {
				c.level, one.levels[ch.Class] = ch.Admission, true
			}
			continue
		}
		server, addr := name(ch.Server)
		have, there := c.cells[server]
		switch {
		case ch.Kind == reconcile.DeleteEntry && there:
			delete(c.cells, server)
		case ch.Kind == reconcile.AddEntry && there:
			failures = append(failures, reconcile.Failure{Index: i, Kind: reconcile.FailureEntryExists, Text: "already exists"})
			continue
		case ch.Kind != reconcile.AddEntry && !there:
			failures = append(failures, reconcile.Failure{Index: i, Kind: reconcile.FailureEntryMissing, Text: "no such server"})
			continue
		default:
			if !there || ch.AddressChanged {
				have.addr = addr
			}
			if ch.Weight >= 0 {
				have.weight = ch.Weight
			}
			if ch.State != reconcile.StateUnchanged {
				have.state = ch.State
			} else if !there {
				have.state = reconcile.StateReady
			}
			c.cells[server] = have
		}
		one.servers[ch.Class][server] = true
	}
	for i, c := range v.classes {
		if len(one.servers[i]) == 0 {
			continue
		}
		c.digest = 0
		for server, cell := range c.cells {
			c.digest += tableversion.EntryDigest(server, cell.usable())
			c.laid = c.laid || cell.usable() > 0
		}
	}
	return failures, v.end(one)
}

func (v *View) begin() change {
	one := change{levels: make([]bool, len(v.classes))}
	for range v.classes {
		one.servers = append(one.servers, map[string]bool{})
	}
	return one
}

func (v *View) end(one change) bool {
	for i := range v.classes {
		if one.size += len(one.servers[i]); one.levels[i] {
			one.size++
		}
	}
	if one.size == 0 {
		return false
	}
	v.next(one)
	return true
}

func (v *View) next(one change) {
	v.version = v.version.Next()
	one.to = v.version
	v.history = append(v.history, one)
	for v.kept += one.size; v.kept > historyLines && len(v.history) > 1; {
		v.kept -= v.history[0].size
		v.history = v.history[1:]
	}
}

// Facts hears of the list. While a class is not laid callers go by what they hold, less what is not open: that is then a version of
// its own. Open tells whether it is.
func (v *View) Facts(f PublishedState) bool {
	opens := !v.Laid() && !slices.Equal(f.Open, v.facts.Open)
	v.facts = f
	v.origin.ListRevision, v.origin.Live = f.ListRevision, f.Live
	if opens {
		v.next(v.begin())
	}
	return opens
}

// Beat gives a sign of life.
func (v *View) Beat() Update {
	u := v.origin
	u.From, u.To, u.Heartbeat = v.version, v.version, true
	return u
}

// Since gives what has changed since a version: whole if it is not known here.
func (v *View) Since(from tableversion.Version) Update {
	u := v.origin
	u.To = v.version
	if !v.Laid() {
		u.Shut, u.Open = true, v.facts.Open
	}
	at := slices.IndexFunc(v.history, func(c change) bool { return c.to == from })
	if at < 0 && from != v.version || from == tableversion.NoVersion {
		for _, c := range v.classes {
			t := c.head()
			for server, cell := range c.cells {
				if w := cell.usable(); w > 0 && c.laid {
					t.Endpoints = append(t.Endpoints, Endpoint{server, cell.addr, w})
				}
			}
			u.Classes = append(u.Classes, t.sorted())
		}
		return u
	}
	u.From = from
	for i, c := range v.classes {
		servers, level := map[string]bool{}, false
		for _, one := range v.history[at+1:] {
			level = level || one.levels[i]
			maps.Copy(servers, one.servers[i])
		}
		t := c.head()
		for server := range servers {
			t.Endpoints = append(t.Endpoints, Endpoint{server, c.cells[server].addr, c.cells[server].usable()})
		}
		if len(servers) > 0 || level {
			u.Classes = append(u.Classes, t.sorted())
		}
	}
	return u
}

func (c *classView) head() ClassTable {
	t := ClassTable{Class: c.name, Published: c.laid, AdmissionLimit: int(c.level.Limit), Retry: c.level.Retry, Digest: c.digest}
	if !c.level.Known {
		t.AdmissionLimit = -1
	}
	return t
}

func (t ClassTable) sorted() ClassTable {
	slices.SortFunc(t.Endpoints, func(a, b Endpoint) int { return strings.Compare(a.Server, b.Server) })
	return t
}
