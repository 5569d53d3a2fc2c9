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

// Restored says what a controller has restored from its store.
type Restored struct {
	Epoch         persistedEpoch
	Lists         []verification.Generation[discovery.Endpoint] // as they were persisted
	Unreadable    []string                                      // records that were there and can't be used
	Tables        int
	Pins          int
	ManualWeights int
}

// storedState is all that a store holds of a controller, as it was read.
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

// Restore takes over what was persisted, before the first step, and begins a new epoch after all before it, whatever
// the clock says. What is damaged is left out and reported.
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

// decode reads one record. Records of unknown keys are skipped. One that can't be read counts with what of it could
// be, but for entries of lists, which are left out.
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

// parseKey reads the parts of a record's key, by a format of fmt.Sscanf.
func parseKey(key, format string, into ...any) bool {
	n, err := fmt.Sscanf(key, format, into...)
	return err == nil && n == len(into)
}

// restoreTables restores tables in the order of their numbers, so that servers get the same ids each time.
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
		if err != nil { // its versions begin anew; what proxies hold is read back as always
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

// restorePins takes over the pins that have not ended. A clock that went back makes none longer.
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

// restoreManualWeights takes over the manual weights that have not ended. A clock that went back makes none longer.
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
			Server: c.names.Learn(name, ""),
			Weight: w.Weight,
			Until:  w.Until,
		})
		restored.ManualWeights++
	}
}

// restoreLists returns both generations with their readable entries, the latest confirmed first; persisting continues
// from the newer one.
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
