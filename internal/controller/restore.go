package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/store"
	"cressknot/internal/tableversion"
)

// Restored describes what a controller has restored from its store.
type Restored struct {
	Epoch         persistedEpoch                                // the new epoch, to be stored under EpochKey
	Lists         []verification.Generation[discovery.Endpoint] // the latest confirmed first
	Unreadable    []string                                      // records that exist but can't be used, with the reason
	Tables        int                                           // number of restored tables
	Pins          int                                           // number of restored pins that have not expired
	ManualWeights int                                           // number of restored weights that have not expired
}

// storedState holds the decoded records of a store.
type storedState struct {
	epoch         persistedEpoch
	snapshots     map[fleet.TableID]persistedSnapshot
	deltas        map[fleet.TableID][]persistedDelta
	deltaKeys     map[fleet.TableID][]string
	pins          map[fleet.TableID]persistedPin
	manualWeights map[string]persistedManualWeight
	heads         [listGenerations]persistedListHead
	endpoints     [listGenerations][]discovery.Endpoint
}

// Restore restores the persisted state and begins a new epoch, which is later than all earlier ones even if the clock
// was set back. It must be called before the first Step. Damaged records are skipped and reported in Unreadable. If the
// store can't be read, Restore returns an error, and the epoch as far as it was read.
func (c *Core) Restore(now fleet.Time, s *store.Store) (Restored, error) {
	var restored Restored
	stored := storedState{
		snapshots:     map[fleet.TableID]persistedSnapshot{},
		deltas:        map[fleet.TableID][]persistedDelta{},
		deltaKeys:     map[fleet.TableID][]string{},
		pins:          map[fleet.TableID]persistedPin{},
		manualWeights: map[string]persistedManualWeight{},
	}
	damage, err := s.Read("", func(key string, payload []byte) error {
		if err := stored.decode(key, payload); err != nil {
			restored.Unreadable = append(restored.Unreadable, key+": "+err.Error())
		}
		return nil
	})
	for _, d := range damage {
		restored.Unreadable = append(restored.Unreadable, d.String())
	}
	if err != nil {
		restored.Epoch = stored.epoch
		return restored, err
	}
	c.persister.enabled = true
	c.setEpoch(max(uint64(now), stored.epoch.Epoch+1))
	restored.Epoch = persistedEpoch{c.epoch, now}
	c.restoreTables(&restored, &stored)
	c.restorePins(now, &restored, stored.pins)
	c.restoreManualWeights(now, &restored, stored.manualWeights)
	c.restoreLists(&restored, &stored)
	return restored, nil
}

// decode decodes one record. Records with unknown keys are skipped. Of a record that can't be decoded completely, the
// decoded part is used, except for list entries, which are skipped.
func (s *storedState) decode(key string, payload []byte) error {
	var table fleet.TableID
	var slot int
	var rest string
	switch {
	case key == EpochKey:
		return json.Unmarshal(payload, &s.epoch)
	case parseKey(key, "table/%05d/%s", &table, &rest):
		return s.decodeTable(table, key, rest, payload)
	case parseKey(key, pinKeyFormat, &table):
		pin, err := decodeJSON[persistedPin](payload)
		s.pins[table] = pin
		return err
	case parseKey(key, "hand/%05d/%s", &table, &rest):
		weight, err := decodeJSON[persistedManualWeight](payload)
		s.manualWeights[key] = weight
		return err
	case parseKey(key, "list/%1d/%s", &slot, &rest) && slot < listGenerations:
		return s.decodeList(slot, rest, payload)
	}
	return nil
}

func (s *storedState) decodeTable(id fleet.TableID, key, rest string, payload []byte) error {
	if rest == "whole" {
		snapshot, err := decodeJSON[persistedSnapshot](payload)
		s.snapshots[id] = snapshot
		return err
	}
	delta, err := decodeJSON[persistedDelta](payload)
	s.deltas[id] = append(s.deltas[id], delta)
	s.deltaKeys[id] = append(s.deltaKeys[id], key)
	return err
}

func (s *storedState) decodeList(slot int, rest string, payload []byte) error {
	if rest == "head" {
		return json.Unmarshal(payload, &s.heads[slot])
	}
	endpoint, err := decodeJSON[discovery.Endpoint](payload)
	if err == nil {
		s.endpoints[slot] = append(s.endpoints[slot], endpoint)
	}
	return err
}

func decodeJSON[T any](payload []byte) (value T, err error) {
	err = json.Unmarshal(payload, &value)
	return value, err
}

// parseKey parses the parts of a record's key with a format of fmt.Sscanf. It reports whether all were parsed.
func parseKey(key, format string, into ...any) bool {
	n, err := fmt.Sscanf(key, format, into...)
	return err == nil && n == len(into)
}

// restoreTables restores tables in the order of their ids, so that servers get the same ids on each restart.
func (c *Core) restoreTables(restored *Restored, stored *storedState) {
	for _, id := range slices.Sorted(maps.Keys(stored.snapshots)) {
		snapshot := stored.snapshots[id]
		var deltas []tableversion.Delta
		for _, d := range stored.deltas[id] {
			deltas = append(deltas, tableversion.Delta{
				From:       d.From,
				To:         d.To,
				FromDigest: d.FromDigest,
				ToDigest:   d.ToDigest,
				Entries:    c.tableEntries(d.Entries),
				CreatedAt:  d.CreatedAt,
				Reason:     d.Reason,
			})
		}
		entries := c.tableEntries(snapshot.Entries)
		table, err := c.reconciler.RestoreVersions(snapshot.Version, snapshot.Digest, entries, deltas)
		if err != nil { // the table starts without history; the entries at proxies are read back when they connect
			restored.Unreadable = append(restored.Unreadable, fmt.Sprintf("versions of table %d can't be restored: %v", id, err))
			continue
		}
		c.reconciler.Restore(id, table, nil)
		c.persister.tables[id] = &persistedTable{
			version:             table.Version(),
			snapshot:            snapshot.Version,
			deltasSinceSnapshot: len(deltas),
			deltaKeys:           stored.deltaKeys[id],
		}
		restored.Tables++
	}
}

// restorePins restores the pins that have not expired. Pins that end later than the maximum duration allows are
// dropped: otherwise a clock that was set back would prolong them.
func (c *Core) restorePins(now fleet.Time, restored *Restored, pins map[fleet.TableID]persistedPin) {
	for _, id := range slices.Sorted(maps.Keys(pins)) {
		p := pins[id]
		pin := reconcile.Pin{Table: id, Weights: c.tableEntries(p.Entries), Until: p.Until, Reason: p.Reason}
		c.persister.pins[id] = pin
		if now < p.Until && p.Until <= now+reconcile.MaxPinDuration {
			c.reconciler.Restore(id, nil, &pin)
			restored.Pins++
		}
	}
}

// restoreManualWeights restores the manual weights that have not expired. As with pins, those that end later than the
// maximum duration allows are dropped.
func (c *Core) restoreManualWeights(now fleet.Time, restored *Restored, weights map[string]persistedManualWeight) {
	for _, key := range slices.Sorted(maps.Keys(weights)) {
		w := weights[key]
		c.persister.manualWeights[key] = w
		var table fleet.TableID
		var name string
		if !parseKey(key, "hand/%05d/%s", &table, &name) || now >= w.Until || w.Until > now+reconcile.ManualWeightDuration {
			continue
		}
		c.reconciler.RestoreManualWeight(reconcile.ManualWeight{
			Table:  table,
			Server: c.names.GetOrAssign(name, ""),
			Weight: w.Weight,
			Until:  w.Until,
		})
		restored.ManualWeights++
	}
}

// restoreLists adds the persisted generations of the endpoint list with their readable entries to Restored.Lists, the
// latest confirmed first. Persisting continues from the newer generation.
func (c *Core) restoreLists(restored *Restored, stored *storedState) {
	p := &c.persister
	for slot, head := range stored.heads {
		endpoints := stored.endpoints[slot]
		for _, e := range endpoints {
			p.entries[slot][e.Name] = e
		}
		if head.Generation == 0 {
			continue
		}
		if head.Generation > p.list.Generation {
			p.list = head
		}
		restored.Lists = append(restored.Lists, verification.Generation[discovery.Endpoint]{
			Source:       "store",
			ConfirmedAt:  head.ConfirmedAt,
			Revision:     head.Revision,
			DeclaredSize: head.Entries,
			Complete:     head.Digest == "" || head.Digest == endpointsDigest(endpoints),
			Entries:      maps.Clone(p.entries[slot]),
		})
	}
	slices.SortFunc(restored.Lists, func(a, b verification.Generation[discovery.Endpoint]) int {
		return cmp.Compare(b.ConfirmedAt, a.ConfirmedAt)
	})
}
