// Package tables gives every class table versions: what changed from one to the next, a digest of the whole by which
// anyone can tell that he holds the right one, a bounded history, and a way back. It is pure: no I/O, no clock.
// docs/design/versions.md has the canonical form of a digest.
package tableversion

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/fleet"
)

// Version orders tables: by the start of the governor that made them, then by a counter. A governor that starts later, or
// takes over later, has the larger epoch, so that its versions come after all before.
type Version struct {
	Epoch uint64 `json:"Epoch"` // of the governor's start: nanoseconds of the wall clock
	Count uint64 `json:"Count"` // from 1
}

// NoVersion is the version of a proxy that holds no table of any governor.
var NoVersion Version

// Compare orders versions.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Count, o.Count))
}

// Next gives the version after. A counter that is used up begins a new epoch, so that order is kept.
func (v Version) Next() Version {
	if v.Count == math.MaxUint64 {
		return Version{v.Epoch + 1, 1}
	}
	return Version{v.Epoch, v.Count + 1}
}

func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 36) + "." + strconv.FormatUint(v.Count, 10)
}

// ParseVersion reads what String prints.
func ParseVersion(text string) (Version, error) {
	epoch, count, ok := strings.Cut(text, ".")
	e, err := strconv.ParseUint(epoch, 36, 64)
	n, err2 := strconv.ParseUint(count, 10, 64)
	if !ok || err != nil || err2 != nil || len(text) > 40 {
		return NoVersion, fmt.Errorf("%.40q is no version: it reads as EPOCH.COUNT", text)
	}
	return Version{e, n}, nil
}

// Digest sums up a table whatever the order of its lines: the sum of the digests of its lines, modulo 2^64. So a changed
// line changes it in constant time.
type Digest uint64

func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// EntryDigest gives the digest of one line: xxhash64 of the server's name, a space and the weight in decimal, as
// "node-07 128". A line of weight 0 is none and has digest 0.
func EntryDigest(server string, weight int) Digest {
	if weight <= 0 {
		return 0
	}
	var room [128]byte
	b := append(append(room[:0], server...), ' ')
	return Digest(xxhash.Sum64(strconv.AppendInt(b, int64(weight), 10)))
}

// Entry is one line of a table: the weight that proxies are sent, 0 to 256; 0 in a delta takes it out. Was is what a
// delta found.
type Entry struct {
	Server           fleet.ServerID
	Weight, Previous int
}

// Delta takes a table from one version to another. Lines are by server, one for each.
type Delta struct {
	From, To             Version
	FromDigest, ToDigest Digest
	Entries              []Entry
	CreatedAt            fleet.Time // when it was made
	Reason               string     // "" for the module's own
}

// NameFunc gives the names of servers, of which digests are made.
type NameFunc func(fleet.ServerID) string

// Table is one class table with its versions. The zero value is not ready; New makes one.
type Table struct {
	version Version
	epoch   uint64 // of versions from here on, if later
	digest  Digest
	lines   map[fleet.ServerID]int
	names   NameFunc
	history []Delta // oldest first, without gaps up to the present version
	kept    int     // lines in history
	bounds  HistoryLimits
	plans   map[held]plan // of the present version: followers on one version share the work
}

// held is what a follower says he holds, with the cost of a message's head.
type held struct {
	version Version
	digest  Digest
	head    int
}

type plan struct {
	way    DeltaPath
	deltas []Delta
}

// HistoryLimits keep the history small.
type HistoryLimits struct {
	MaxEntries int        // in all deltas that are kept
	MaxAge     fleet.Time // of the oldest
}

// New makes an empty table in an epoch.
func New(epoch uint64, names NameFunc, bounds HistoryLimits) *Table {
	return &Table{version: Version{Epoch: epoch}, lines: map[fleet.ServerID]int{}, names: names, bounds: bounds}
}

// Restore makes a table of what was kept: the whole at some version, and deltas in their order, some of which lead there and some
// on. Versions go on in the new epoch. What does not fit is an error; deltas before a gap are left out, as no way leads from them.
func Restore(epoch uint64, names NameFunc, bounds HistoryLimits, at Version, digest Digest, whole []Entry, deltas []Delta) (*Table, error) {
	t := New(at.Epoch, names, bounds)
	t.version, t.epoch = at, epoch
	for _, l := range whole {
		t.put(l)
	}
	if t.digest != digest {
		return nil, &MismatchError{fmt.Sprintf("version %s should have digest %s, what was kept gives %s", at, digest, t.digest)}
	}
	for _, d := range deltas {
		if d.To.Compare(at) > 0 {
			if d.From != t.version || d.FromDigest != t.digest {
				return nil, &MismatchError{fmt.Sprintf("a delta from %s does not go on from version %s", d.From, t.version)}
			}
			for _, l := range d.Entries {
				t.put(l)
			}
			if t.version = d.To; t.digest != d.ToDigest {
				return nil, &MismatchError{fmt.Sprintf("version %s should have digest %s, what was kept gives %s", d.To, d.ToDigest, t.digest)}
			}
		}
		if n := len(t.history); n > 0 && t.history[n-1].To != d.From {
			t.history, t.kept = nil, 0
		}
		t.history = append(t.history, d)
		t.kept += len(d.Entries)
	}
	if n := len(t.history); n > 0 && t.history[n-1].To != t.version {
		t.history, t.kept = nil, 0
	}
	return t, nil
}

// BeginEpoch makes a version of an epoch, if that is later, of the same lines: what is told from here on comes after all of epochs before.
func (t *Table) BeginEpoch(now fleet.Time, epoch uint64, why string) {
	if epoch <= max(t.epoch, t.version.Epoch) {
		return
	}
	clear(t.plans)
	from := t.version
	if t.epoch, t.version = epoch, (Version{Epoch: epoch}); from.Count > 0 { // one without lines has no version yet
		t.version.Count = 1
		t.history = append(t.history, Delta{From: from, To: t.version, FromDigest: t.digest, ToDigest: t.digest, CreatedAt: now, Reason: why})
		t.trim(now)
	}
}

// Version and Digest tell which table this is.
func (t *Table) Version() Version { return t.version }

// Digest tells the digest of the whole.
func (t *Table) Digest() Digest { return t.digest }

// Len tells how many lines it has.
func (t *Table) Len() int { return len(t.lines) }

// Weight gives the weight of a server's line, 0 for none.
func (t *Table) Weight(id fleet.ServerID) int { return t.lines[id] }

// Entries gives all lines by server.
func (t *Table) Entries() []Entry { return sorted(t.lines) }

func sorted(of map[fleet.ServerID]int) []Entry {
	lines := make([]Entry, 0, len(of))
	for id, w := range of {
		lines = append(lines, Entry{Server: id, Weight: w})
	}
	slices.SortFunc(lines, func(a, b Entry) int { return cmp.Compare(a.Server, b.Server) })
	return lines
}

// Change makes the next version of the lines that are given; what stands already is no change. Without any there is no
// new version, and ok is false.
func (t *Table) Change(now fleet.Time, lines []Entry, why string) (d Delta, ok bool) {
	d = Delta{From: t.version, FromDigest: t.digest, CreatedAt: now, Reason: why}
	changed := map[fleet.ServerID]int{}
	for _, l := range lines {
		changed[l.Server] = max(0, l.Weight)
	}
	for _, l := range sorted(changed) {
		if l.Previous = t.lines[l.Server]; l.Weight != l.Previous {
			d.Entries = append(d.Entries, l)
		}
	}
	if len(d.Entries) == 0 {
		return d, false
	}
	for _, l := range d.Entries {
		t.put(l)
	}
	clear(t.plans) // they lead to the version before
	if t.version = t.version.Next(); t.version.Epoch < t.epoch {
		t.version = Version{t.epoch, 1}
	}
	d.To, d.ToDigest = t.version, t.digest
	t.history = append(t.history, d)
	t.kept += len(d.Entries)
	t.trim(now)
	return d, true
}

func (t *Table) put(l Entry) {
	name := t.names(l.Server)
	t.digest += EntryDigest(name, l.Weight) - EntryDigest(name, t.lines[l.Server])
	if l.Weight == 0 {
		delete(t.lines, l.Server)
	} else {
		t.lines[l.Server] = l.Weight
	}
}

// trim forgets the oldest versions past the bounds; the newest delta always stays.
func (t *Table) trim(now fleet.Time) {
	n := 0
	for n < len(t.history)-1 && (t.kept > t.bounds.MaxEntries || t.history[n].CreatedAt < now-t.bounds.MaxAge) {
		t.kept -= len(t.history[n].Entries)
		n++
	}
	if n > 0 {
		clear(t.history[:n]) // what append copies in time is only what is kept
		t.history = t.history[n:]
	}
}

// History gives the deltas that are kept, oldest first.
func (t *Table) History() []Delta { return t.history }

// GoneError tells that a version is not kept any more, or never was.
type GoneError struct{ Version, Oldest, Newest Version }

func (e *GoneError) Error() string {
	return fmt.Sprintf("version %s is not kept; from %s to %s are", e.Version, e.Oldest, e.Newest)
}

func (t *Table) find(v Version) (int, error) { // the number of deltas kept after it
	for i := len(t.history); i > 0; i-- {
		if t.history[i-1].To == v {
			return len(t.history) - i, nil
		}
	}
	oldest := t.version
	if len(t.history) > 0 {
		if oldest = t.history[0].From; oldest == v {
			return len(t.history), nil
		}
	} else if v == t.version {
		return 0, nil
	}
	return 0, &GoneError{v, oldest, t.version}
}

// Fold gives one delta from an earlier version to the present: each line that differs, once.
func (t *Table) Fold(from Version) (Delta, error) {
	after, err := t.find(from)
	if err != nil {
		return Delta{}, err
	}
	d := Delta{From: from, To: t.version, FromDigest: t.digest, ToDigest: t.digest}
	deltas := t.history[len(t.history)-after:]
	if len(deltas) == 0 {
		return d, nil
	}
	d.FromDigest, d.CreatedAt = deltas[0].FromDigest, deltas[len(deltas)-1].CreatedAt
	was := map[fleet.ServerID]int{}
	for _, one := range slices.Backward(deltas) { // the earliest word on what was counts
		for _, l := range one.Entries {
			was[l.Server] = l.Previous
		}
	}
	for _, l := range sorted(was) {
		if now := t.lines[l.Server]; now != l.Weight {
			d.Entries = append(d.Entries, Entry{l.Server, now, l.Weight})
		}
	}
	return d, nil
}

// At gives the whole of an earlier version, by server.
func (t *Table) At(v Version) ([]Entry, error) {
	d, err := t.Fold(v)
	if err != nil {
		return nil, err
	}
	whole := map[fleet.ServerID]int{}
	for id, w := range t.lines {
		whole[id] = w
	}
	for _, l := range d.Entries {
		if whole[l.Server] = l.Previous; l.Previous == 0 {
			delete(whole, l.Server)
		}
	}
	return sorted(whole), nil
}

// DeltaPath is how a proxy comes to the present version.
type DeltaPath uint8

// The ways, in the order in which they are preferred at the same number of lines.
const (
	Nothing DeltaPath = iota // it holds the present version
	Deltas                   // those in between, one after the other
	Folded                   // one delta for all of them
	Whole                    // the whole table
)

// Plan gives the shortest safe way for one who says what he holds: by lines, each message costing head lines more. One who
// holds what no version of ours was, or says so with a digest that is not that version's, gets the whole. It is worked out
// once for each version held: a thousand followers cost what their distinct versions do. The deltas are not to be changed.
func (t *Table) Plan(v Version, digest Digest, head int) (way DeltaPath, deltas []Delta) {
	if v == t.version && digest == t.digest {
		return Nothing, nil
	}
	after, err := t.find(v)
	at := held{v, digest, head}
	if err != nil { // whatever is not kept: one whole for all
		at = held{head: head}
	}
	made, ok := t.plans[at]
	if !ok {
		if made = t.plan(v, digest, head, after, err); made.way == Whole && err == nil { // as a damaged digest may be any number
			at = held{head: head}
		}
		if t.plans == nil {
			t.plans = map[held]plan{}
		}
		t.plans[at] = made
	}
	return made.way, made.deltas
}

func (t *Table) plan(v Version, digest Digest, head, after int, unknown error) plan {
	whole := func() plan {
		if made, ok := t.plans[held{head: head}]; ok {
			return made
		}
		return plan{Whole, []Delta{{From: NoVersion, To: t.version, ToDigest: t.digest, Entries: t.Entries()}}}
	}
	if unknown != nil {
		return whole()
	}
	if after > 0 && t.history[len(t.history)-after].FromDigest != digest || after == 0 && digest != t.digest {
		return whole()
	}
	folded, _ := t.Fold(v)
	between := t.history[len(t.history)-after:]
	each := 0
	for _, d := range between {
		each += head + len(d.Entries)
	}
	switch once := head + len(folded.Entries); {
	case len(t.lines)+head < min(once, each):
		return whole()
	case each <= once:
		return plan{Deltas, slices.Clone(between)}
	}
	return plan{Folded, []Delta{folded}}
}

// Difference is a line in which a way back had to differ from the version gone back to.
type Difference struct {
	Entry
	Reason string
}

// Rollback makes a new version with the content of an earlier one, as far as today's servers allow: allow tells why a server
// may not stand in it, "" if it may. A version of which nothing may stand is refused.
func (t *Table) Rollback(now fleet.Time, to Version, allow func(fleet.ServerID) string) (Delta, []Difference, error) {
	old, err := t.At(to)
	if err != nil {
		return Delta{}, nil, err
	}
	var lines []Entry
	var differs []Difference
	wanted := map[fleet.ServerID]bool{}
	for _, l := range old {
		if why := allow(l.Server); why != "" {
			differs = append(differs, Difference{l, why})
			continue
		}
		wanted[l.Server] = true
		lines = append(lines, l)
	}
	if len(lines) == 0 && len(old) > 0 {
		return Delta{}, differs, fmt.Errorf("nothing of version %s may stand today: %s", to, differs[0].Reason)
	}
	for id := range t.lines {
		if !wanted[id] {
			lines = append(lines, Entry{Server: id})
		}
	}
	d, changed := t.Change(now, lines, "back to "+to.String())
	if !changed {
		return d, differs, fmt.Errorf("that is what stands already, as version %s", t.version)
	}
	return d, differs, nil
}

// Replica is what a follower holds of a table: a proxy's side, a client library's.
type Replica struct {
	version Version
	digest  Digest
	lines   map[string]int
}

// NamedEntry is a line as it travels: servers by their names.
type NamedEntry struct {
	Server string
	Weight int
}

// Version and Digest tell what is held.
func (c *Replica) Version() (Version, Digest) { return c.version, c.digest }

// Lines gives what is held.
func (c *Replica) Lines() map[string]int { return c.lines }

// MismatchError tells that a delta can't be taken; what was held stays, and the whole is to be asked for.
type MismatchError struct{ What string }

func (e *MismatchError) Error() string { return e.What }

// Apply takes a delta whole, or not at all. One that ends where the copy is or before is old and does nothing; one that begins
// elsewhere, or does not end at the digest it names, is an error. From None it is the whole table.
func (c *Replica) Apply(d Delta, lines []NamedEntry) error {
	if d.To.Compare(c.version) <= 0 && !(d.To == c.version && d.ToDigest != c.digest) {
		return nil
	}
	next := Replica{version: d.To, lines: map[string]int{}}
	if d.From != NoVersion {
		if d.From != c.version || d.FromDigest != c.digest {
			return &MismatchError{fmt.Sprintf("a delta from %s (%s), but %s (%s) is held", d.From, d.FromDigest, c.version, c.digest)}
		}
		next.digest = c.digest
		for server, w := range c.lines {
			next.lines[server] = w
		}
	}
	for _, l := range lines {
		next.digest += EntryDigest(l.Server, l.Weight) - EntryDigest(l.Server, next.lines[l.Server])
		if next.lines[l.Server] = l.Weight; l.Weight == 0 {
			delete(next.lines, l.Server)
		}
	}
	if next.digest != d.ToDigest {
		return &MismatchError{fmt.Sprintf("version %s should have digest %s, what came gives %s", d.To, d.ToDigest, next.digest)}
	}
	*c = next
	return nil
}
