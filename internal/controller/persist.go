package controller

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/store"
	"cressknot/internal/tableversion"
)

// snapshotInterval is the number of deltas after which a full table is persisted again. It bounds the deltas that a
// restart has to apply to a snapshot.
const snapshotInterval = 64

// The persisted records, encoded as JSON. docs/design/store.md describes what is persisted and why. Keys and tags must
// never change, as later versions of the program read them.
type (
	persistedEpoch struct {
		Epoch uint64     `json:"epoch"`
		At    fleet.Time `json:"at"`
	}
	persistedEntry struct {
		Server   string `json:"server"`
		Weight   int    `json:"weight"`
		Previous int    `json:"was,omitempty"`
	}
	persistedSnapshot struct {
		Version tableversion.Version `json:"version"`
		Digest  tableversion.Digest  `json:"digest"`
		Entries []persistedEntry     `json:"lines"`
	}
	persistedDelta struct {
		From       tableversion.Version `json:"from"`
		To         tableversion.Version `json:"to"`
		FromDigest tableversion.Digest  `json:"fromDigest"`
		ToDigest   tableversion.Digest  `json:"toDigest"`
		Entries    []persistedEntry     `json:"lines"`
		CreatedAt  fleet.Time           `json:"at"`
		Reason     string               `json:"why,omitempty"`
	}
	persistedPin struct {
		Entries []persistedEntry `json:"lines"`
		Until   fleet.Time       `json:"until"`
		Reason  string           `json:"why"`
	}
	persistedManualWeight struct {
		Weight int16      `json:"weight"`
		Until  fleet.Time `json:"until"`
	}
	persistedListHead struct {
		Generation  uint64     `json:"generation"`
		Revision    uint64     `json:"rev"`
		ConfirmedAt fleet.Time `json:"at"` // when the source last confirmed the list
		Entries     int        `json:"entries"`
		Digest      string     `json:"digest,omitempty"` // of all entries; "" in records without one
	}
)

// EpochKey is the store key of the record that holds the controller's latest epoch (Restored.Epoch).
const EpochKey = "epoch"

const pinKeyFormat = "pin/%05d"

// listGenerations is the number of endpoint lists that are persisted: the current one and the one before it.
const listGenerations = 2

// persister tracks which state is persisted, so that only changes are written.
type persister struct {
	enabled       bool
	tables        map[fleet.TableID]*persistedTable
	pins          map[fleet.TableID]reconcile.Pin
	manualWeights map[string]persistedManualWeight
	list          persistedListHead
	// entries are the entries of the persisted lists; the index is the generation modulo listGenerations.
	entries [listGenerations]map[string]discovery.Endpoint
}

type persistedTable struct {
	version             tableversion.Version
	snapshot            tableversion.Version
	deltasSinceSnapshot int
	deltaKeys           []string // oldest first
}

func newPersister() persister {
	return persister{
		tables:        map[fleet.TableID]*persistedTable{},
		pins:          map[fleet.TableID]reconcile.Pin{},
		manualWeights: map[string]persistedManualWeight{},
		entries:       [listGenerations]map[string]discovery.Endpoint{{}, {}},
	}
}

func tableKey(id fleet.TableID, parts ...string) string {
	return store.Key(append([]string{"table", fmt.Sprintf("%05d", id)}, parts...)...)
}

func deltaKey(id fleet.TableID, v tableversion.Version) string {
	return tableKey(id, "delta", fmt.Sprintf("%020d.%020d", v.Epoch, v.Count))
}

func pinKey(id fleet.TableID) string { return fmt.Sprintf(pinKeyFormat, id) }

func manualWeightKey(id fleet.TableID, server string) string {
	return store.Key("hand", fmt.Sprintf("%05d", id), server)
}

func listKey(slot string, parts ...string) string {
	return store.Key(append([]string{"list", slot}, parts...)...)
}

// namedEntries replaces the server ids of table entries by names, as ids are only valid within one process.
func (c *Core) namedEntries(entries []tableversion.Entry) []persistedEntry {
	named := make([]persistedEntry, len(entries))
	for i, e := range entries {
		named[i] = persistedEntry{c.serverName(e.Server), e.Weight, e.Previous}
	}
	return named
}

// tableEntries converts persisted entries to table entries: it replaces server names by ids, and assigns ids to unknown
// names.
func (c *Core) tableEntries(named []persistedEntry) []tableversion.Entry {
	entries := make([]tableversion.Entry, len(named))
	for i, e := range named {
		entries[i] = tableversion.Entry{Server: c.names.GetOrAssign(e.Server, ""), Weight: e.Weight, Previous: e.Previous}
	}
	return entries
}

// persistChanges returns the changes of tables, pins and manual weights since the last call.
func (c *Core) persistChanges() (changes []store.Change) {
	if !c.persister.enabled {
		return nil
	}
	for _, id := range c.reconciler.TableIDs() {
		if table := c.reconciler.TableVersions(id); table != nil {
			changes = c.persistTable(changes, id, table)
		}
	}
	changes = c.persistPins(changes)
	return c.persistManualWeights(changes)
}

// persistTable adds the new deltas of a table, deletes those that the table no longer holds, and adds a snapshot when
// one is due: after snapshotInterval deltas, or if the deltas since the last snapshot are no longer complete.
func (c *Core) persistTable(changes []store.Change, id fleet.TableID, table *tableversion.Table) []store.Change {
	t := c.persister.tables[id]
	if t == nil {
		t = &persistedTable{}
		c.persister.tables[id] = t
	}
	if t.version == table.Version() {
		return changes
	}
	history := table.History()
	for _, d := range history {
		if d.To.Compare(t.version) <= 0 {
			continue
		}
		key := deltaKey(id, d.To)
		t.deltaKeys = append(t.deltaKeys, key)
		t.deltasSinceSnapshot++
		value := persistedDelta{d.From, d.To, d.FromDigest, d.ToDigest, c.namedEntries(d.Entries), d.CreatedAt, d.Reason}
		changes = append(changes, store.Change{Key: key, Value: value})
	}
	t.version = table.Version()
	for len(t.deltaKeys) > len(history) {
		changes = append(changes, store.Change{Key: t.deltaKeys[0]})
		t.deltaKeys = t.deltaKeys[1:]
	}
	snapshotForgotten := len(history) > 0 && t.snapshot.Compare(history[0].From) < 0
	if t.deltasSinceSnapshot >= snapshotInterval || t.snapshot == tableversion.NoVersion || snapshotForgotten {
		t.snapshot = t.version
		t.deltasSinceSnapshot = 0
		value := persistedSnapshot{t.version, table.Digest(), c.namedEntries(table.Entries())}
		changes = append(changes, store.Change{Key: tableKey(id, "whole"), Value: value})
	}
	return changes
}

func (c *Core) persistPins(changes []store.Change) []store.Change {
	persisted := c.persister.pins
	current := map[fleet.TableID]bool{}
	for _, p := range c.reconciler.Pins() {
		current[p.Table] = true
		if old, known := persisted[p.Table]; !known || old.Until != p.Until || old.Reason != p.Reason {
			persisted[p.Table] = p
			value := persistedPin{c.namedEntries(p.Weights), p.Until, p.Reason}
			changes = append(changes, store.Change{Key: pinKey(p.Table), Value: value})
		}
	}
	for id := range persisted {
		if !current[id] {
			delete(persisted, id)
			changes = append(changes, store.Change{Key: pinKey(id)})
		}
	}
	return changes
}

func (c *Core) persistManualWeights(changes []store.Change) []store.Change {
	persisted := c.persister.manualWeights
	current := map[string]bool{}
	for _, o := range c.reconciler.ManualWeights() {
		key := manualWeightKey(o.Table, c.serverName(o.Server))
		current[key] = true
		value := persistedManualWeight{o.Weight, o.Until}
		if persisted[key] != value {
			persisted[key] = value
			changes = append(changes, store.Change{Key: key, Value: value})
		}
	}
	for key := range persisted {
		if !current[key] {
			delete(persisted, key)
			changes = append(changes, store.Change{Key: key})
		}
	}
	return changes
}

// persistEndpoints writes a list next to the previous one. Each entry has its own record, so that a damaged record
// loses only that entry. The head is written last; a list without its head is ignored.
func (c *Core) persistEndpoints(confirmedAt fleet.Time, list *discovery.EndpointList) (changes []store.Change) {
	p := &c.persister
	if !p.enabled {
		return nil
	}
	generation := p.list.Generation + 1
	digest := endpointsDigest(list.Endpoints)
	if p.list.Generation > 0 && digest == p.list.Digest { // the same list, confirmed again: keep the previous one
		generation = p.list.Generation
	}
	persisted := p.entries[generation%listGenerations]
	slot := strconv.FormatUint(generation%listGenerations, 10)
	current := map[string]bool{}
	for _, s := range list.Endpoints {
		current[s.Name] = true
		if old, known := persisted[s.Name]; !known || old != s {
			persisted[s.Name] = s
			changes = append(changes, store.Change{Key: listKey(slot, "entry", s.Name), Value: s})
		}
	}
	for name := range persisted {
		if !current[name] {
			delete(persisted, name)
			changes = append(changes, store.Change{Key: listKey(slot, "entry", name)})
		}
	}
	p.list = persistedListHead{generation, list.Revision, confirmedAt, len(list.Endpoints), digest}
	return append(changes, store.Change{Key: listKey(slot, "head"), Value: p.list})
}

// endpointsDigest returns a checksum of a full list that does not depend on the order of its entries.
func endpointsDigest(endpoints []discovery.Endpoint) string {
	sum := uint64(0)
	for _, e := range endpoints {
		text, _ := json.Marshal(e) // strings and numbers can always be encoded
		sum += xxhash.Sum64(text)
	}
	return fmt.Sprintf("%016x", sum)
}
