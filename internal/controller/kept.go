package controller

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/store"
	"cressknot/internal/tableversion"
)

const (
	wholeEvery = 64 // deltas after which the whole of a table is kept anew: a start folds no more
)

// What lasts over a governor's death. docs/design/store.md has the table of what and why.
type (
	keptEpoch struct {
		Epoch uint64     `json:"epoch"`
		At    fleet.Time `json:"at"`
	}
	keptLine struct {
		Server string `json:"server"`
		Weight int    `json:"weight"`
		Was    int    `json:"was,omitempty"`
	}
	keptWhole struct {
		Version tableversion.Version `json:"version"`
		Digest  tableversion.Digest  `json:"digest"`
		Lines   []keptLine           `json:"lines"`
	}
	keptDelta struct {
		From       tableversion.Version `json:"from"`
		To         tableversion.Version `json:"to"`
		FromDigest tableversion.Digest  `json:"fromDigest"`
		ToDigest   tableversion.Digest  `json:"toDigest"`
		Lines      []keptLine           `json:"lines"`
		At         fleet.Time           `json:"at"`
		Why        string               `json:"why,omitempty"`
	}
	keptPin struct {
		Lines []keptLine `json:"lines"`
		Until fleet.Time `json:"until"`
		Why   string     `json:"why"`
	}
	keptHand struct {
		Weight int16      `json:"weight"`
		Until  fleet.Time `json:"until"`
	}
	keptList struct {
		Generation uint64     `json:"generation"`
		Rev        uint64     `json:"rev"`
		At         fleet.Time `json:"at"` // when its source stood to it last
		Entries    int        `json:"entries"`
		Digest     string     `json:"digest,omitempty"` // of all entries
	}
)

// keeper knows what of the core is kept, so that only what changed is kept again.
type keeper struct {
	on      bool
	tables  map[fleet.TableID]*keptTable
	pins    map[fleet.TableID]reconcile.Pin
	hands   map[string]keptHand
	list    keptList
	entries [2]map[string]discovery.Endpoint // by generation's parity: what its records hold
}

type keptTable struct {
	at     tableversion.Version // the newest that is kept
	whole  tableversion.Version
	since  int // deltas since the whole
	deltas []string
}

func newKeeper() keeper {
	return keeper{tables: map[fleet.TableID]*keptTable{}, pins: map[fleet.TableID]reconcile.Pin{}, hands: map[string]keptHand{},
		entries: [2]map[string]discovery.Endpoint{{}, {}}}
}

func tableKey(id fleet.TableID, parts ...string) string {
	return store.Key(append([]string{"table", fmt.Sprintf("%05d", id)}, parts...)...)
}

func deltaKey(id fleet.TableID, v tableversion.Version) string {
	return tableKey(id, "delta", fmt.Sprintf("%020d.%020d", v.Epoch, v.Count))
}

func (c *Core) namedLines(lines []tableversion.Entry) []keptLine {
	out := make([]keptLine, len(lines))
	for i, l := range lines {
		name, _ := c.names.Of(l.Server)
		out[i] = keptLine{name, l.Weight, l.Previous}
	}
	return out
}

func (c *Core) lines(named []keptLine) []tableversion.Entry {
	out := make([]tableversion.Entry, len(named))
	for i, l := range named {
		out[i] = tableversion.Entry{Server: c.names.Learn(l.Server, ""), Weight: l.Weight, Previous: l.Was}
	}
	return out
}

// keep gives what has changed of what must last since it was called last.
func (c *Core) keep() (changes []store.Change) {
	k := &c.keeper
	if !k.on {
		return nil
	}
	for _, id := range c.plane.TableIDs() {
		if book := c.plane.TableVersions(id); book != nil {
			changes = c.keepTable(changes, id, book)
		}
	}
	pins := map[fleet.TableID]bool{}
	for _, p := range c.plane.Pins() {
		pins[p.Table] = true
		if old, is := k.pins[p.Table]; !is || old.Until != p.Until || old.Reason != p.Reason {
			k.pins[p.Table] = p
			changes = append(changes, store.Change{Key: fmt.Sprintf("pin/%05d", p.Table), Value: keptPin{c.namedLines(p.Weights), p.Until, p.Reason}})
		}
	}
	for id := range k.pins {
		if !pins[id] {
			delete(k.pins, id)
			changes = append(changes, store.Change{Key: fmt.Sprintf("pin/%05d", id)})
		}
	}
	hands := map[string]bool{}
	for _, o := range c.plane.ManualWeights() {
		name, _ := c.names.Of(o.Server)
		key := store.Key("hand", fmt.Sprintf("%05d", o.Table), name)
		hands[key] = true
		if now := (keptHand{o.Weight, o.Until}); k.hands[key] != now {
			k.hands[key] = now
			changes = append(changes, store.Change{Key: key, Value: now})
		}
	}
	for key := range k.hands {
		if !hands[key] {
			delete(k.hands, key)
			changes = append(changes, store.Change{Key: key})
		}
	}
	return changes
}

func (c *Core) keepTable(changes []store.Change, id fleet.TableID, book *tableversion.Table) []store.Change {
	t := c.keeper.tables[id]
	if t == nil {
		t = &keptTable{}
		c.keeper.tables[id] = t
	}
	if t.at == book.Version() {
		return changes
	}
	history := book.History()
	for _, d := range history {
		if d.To.Compare(t.at) <= 0 {
			continue
		}
		key := deltaKey(id, d.To)
		t.deltas = append(t.deltas, key)
		t.since++
		changes = append(changes, store.Change{Key: key, Value: keptDelta{d.From, d.To, d.FromDigest, d.ToDigest, c.namedLines(d.Entries), d.CreatedAt, d.Reason}})
	}
	t.at = book.Version()
	for len(t.deltas) > len(history) { // forgotten by the table itself
		changes = append(changes, store.Change{Key: t.deltas[0]})
		t.deltas = t.deltas[1:]
	}
	if t.since >= wholeEvery || t.whole == tableversion.NoVersion || len(history) > 0 && t.whole.Compare(history[0].From) < 0 {
		t.whole, t.since = t.at, 0
		changes = append(changes, store.Change{Key: tableKey(id, "whole"), Value: keptWhole{t.at, book.Digest(), c.namedLines(book.Entries())}})
	}
	return changes
}

// keepList keeps a list beside the one before: an entry a record, so that a damaged one costs itself only, and last the head that
// makes it count.
func (c *Core) keepList(now fleet.Time, doc *discovery.EndpointList) (changes []store.Change) {
	k := &c.keeper
	if !k.on {
		return nil
	}
	gen, digest := k.list.Generation+1, digestOf(doc.Endpoints)
	if k.list.Generation > 0 && digest == k.list.Digest { // the same list, confirmed: the one before it stays
		gen = k.list.Generation
	}
	held := k.entries[gen%2]
	slot := strconv.FormatUint(gen%2, 10)
	there := map[string]bool{}
	for _, s := range doc.Endpoints {
		there[s.Name] = true
		if old, is := held[s.Name]; !is || old != s {
			held[s.Name] = s
			changes = append(changes, store.Change{Key: store.Key("list", slot, "entry", s.Name), Value: s})
		}
	}
	for name := range held {
		if !there[name] {
			delete(held, name)
			changes = append(changes, store.Change{Key: store.Key("list", slot, "entry", name)})
		}
	}
	k.list = keptList{gen, doc.Revision, now, len(doc.Endpoints), digest}
	return append(changes, store.Change{Key: store.Key("list", slot, "head"), Value: k.list})
}

// digestOf gives a checksum of a whole list, whatever the order of its entries.
func digestOf(servers []discovery.Endpoint) string {
	all := uint64(0)
	for _, s := range servers {
		text, _ := json.Marshal(s) // of strings and numbers
		all += xxhash.Sum64(text)
	}
	return fmt.Sprintf("%016x", all)
}

// Restored is what a governor woke with.
type Restored struct {
	Epoch         keptEpoch
	Lists         []verification.Generation[discovery.Endpoint] // as they were kept
	Unreadable    []string                                      // what was there and can't be believed
	Tables        int
	Pins          int
	ManualWeights int
}

// Restore takes over what was kept, before the first turn, and begins a new epoch after all before it, whatever the clock says.
// What is damaged is left out and told.
func (c *Core) Restore(now fleet.Time, s *store.Store) (w Restored, err error) {
	wholes, deltas := map[fleet.TableID]keptWhole{}, map[fleet.TableID][]keptDelta{}
	keys := map[fleet.TableID][]string{}
	pins, hands := map[fleet.TableID]keptPin{}, map[string]keptHand{}
	var heads [2]keptList
	var entries [2][]discovery.Endpoint
	damage, err := s.Read("", func(key string, payload []byte) error {
		var table fleet.TableID
		var slot int
		var rest string
		bad := error(nil)
		read := func(into any) { bad = json.Unmarshal(payload, into) }
		switch {
		case key == "epoch":
			read(&w.Epoch)
		case scan(key, "table/%05d/%s", &table, &rest) && rest == "whole":
			var one keptWhole
			read(&one)
			wholes[table] = one
		case scan(key, "table/%05d/%s", &table, &rest):
			var one keptDelta
			read(&one)
			deltas[table], keys[table] = append(deltas[table], one), append(keys[table], key)
		case scan(key, "pin/%05d", &table):
			var one keptPin
			read(&one)
			pins[table] = one
		case scan(key, "hand/%05d/%s", &table, &rest):
			var one keptHand
			read(&one)
			hands[key] = one
		case scan(key, "list/%1d/%s", &slot, &rest) && slot < 2 && rest == "head":
			read(&heads[slot])
		case scan(key, "list/%1d/%s", &slot, &rest) && slot < 2:
			var one discovery.Endpoint
			if read(&one); bad == nil {
				entries[slot] = append(entries[slot], one)
			}
		}
		if bad != nil {
			w.Unreadable = append(w.Unreadable, key+": "+bad.Error())
		}
		return nil
	})
	for _, d := range damage {
		w.Unreadable = append(w.Unreadable, d.String())
	}
	if err != nil {
		return w, err
	}
	c.keeper.on = true
	c.begin(max(uint64(now), w.Epoch.Epoch+1))
	w.Epoch = keptEpoch{c.epoch, now}
	c.wakeTables(now, &w, wholes, deltas, keys, pins)
	c.wakeHands(now, &w, hands)
	c.wakeList(&w, heads, entries)
	return w, nil
}

func (c *Core) wakeTables(now fleet.Time, w *Restored, wholes map[fleet.TableID]keptWhole, deltas map[fleet.TableID][]keptDelta, keys map[fleet.TableID][]string, pins map[fleet.TableID]keptPin) {
	for _, id := range slices.Sorted(maps.Keys(wholes)) { // so that ids of names are the same each time
		whole := wholes[id]
		var ds []tableversion.Delta
		for _, d := range deltas[id] {
			ds = append(ds, tableversion.Delta{From: d.From, To: d.To, FromDigest: d.FromDigest, ToDigest: d.ToDigest, Entries: c.lines(d.Lines), CreatedAt: d.At, Reason: d.Why})
		}
		book, err := c.plane.RestoreVersions(whole.Version, whole.Digest, c.lines(whole.Lines), ds)
		if err != nil { // its versions begin anew; proxies are read back as always
			w.Unreadable = append(w.Unreadable, fmt.Sprintf("versions of table %d: %v", id, err))
			continue
		}
		c.plane.Restore(id, book, nil)
		c.keeper.tables[id] = &keptTable{at: book.Version(), whole: whole.Version, since: len(ds), deltas: keys[id]}
		w.Tables++
	}
	for _, id := range slices.Sorted(maps.Keys(pins)) {
		p := pins[id]
		one := reconcile.Pin{Table: id, Weights: c.lines(p.Lines), Until: p.Until, Reason: p.Why}
		if c.keeper.pins[id] = one; now < p.Until && p.Until <= now+reconcile.MaxPinDuration { // a clock that went back makes none longer
			c.plane.Restore(id, nil, &one)
			w.Pins++
		}
	}
}

func (c *Core) wakeHands(now fleet.Time, w *Restored, hands map[string]keptHand) {
	for _, key := range slices.Sorted(maps.Keys(hands)) {
		h := hands[key]
		var table fleet.TableID
		var name string
		c.keeper.hands[key] = h
		if scan(key, "hand/%05d/%s", &table, &name) && now < h.Until && h.Until <= now+reconcile.ManualWeightDuration {
			c.plane.RestoreManualWeight(reconcile.ManualWeight{Table: table, Server: c.names.Learn(name, ""), Weight: h.Weight, Until: h.Until})
			w.ManualWeights++
		}
	}
}

// wakeList gives both generations with what is left of them, and goes on from the newer one.
func (c *Core) wakeList(w *Restored, heads [2]keptList, entries [2][]discovery.Endpoint) {
	for slot, h := range heads {
		for _, s := range entries[slot] {
			c.keeper.entries[slot][s.Name] = s
		}
		if h.Generation == 0 {
			continue
		}
		if h.Generation > c.keeper.list.Generation {
			c.keeper.list = h
		}
		g := verification.Generation[discovery.Endpoint]{Source: "store", ConfirmedAt: h.At, Revision: h.Rev, DeclaredSize: h.Entries,
			Complete: h.Digest == "" || h.Digest == digestOf(entries[slot]), Entries: maps.Clone(c.keeper.entries[slot])}
		w.Lists = append(w.Lists, g)
	}
	slices.SortFunc(w.Lists, func(a, b verification.Generation[discovery.Endpoint]) int {
		return cmp.Compare(b.ConfirmedAt, a.ConfirmedAt)
	})
}

func scan(key, form string, into ...any) bool {
	n, err := fmt.Sscanf(key, form, into...)
	return err == nil && n == len(into)
}

// errBehind tells staff that what they set is not on disk.
var errBehind = errors.New("not kept on disk yet")
