package reconcile

import (
	"fmt"
	"strings"

	"cressknot/internal/fleet"
	"cressknot/internal/tableversion"
)

// historyLimits bounds the history of a table to about 4 MB and to one day. A table that is found to be bad after
// more than a day is of no use for a rollback, as the traffic has changed.
var historyLimits = tableversion.HistoryLimits{MaxEntries: 100_000, MaxAge: 24 * 3600 * fleet.Second}

// SetEpoch enables table versions, beginning in the given epoch. Digests are computed from the names of servers.
// Tables have no versions if it is not called.
func (r *Reconciler) SetEpoch(epoch uint64, name tableversion.NameFunc) {
	r.versions.epoch = epoch
	r.versions.serverName = name
}

// RaiseEpoch continues table versions in a later epoch, with unchanged content. The reason is stored with them.
func (r *Reconciler) RaiseEpoch(now fleet.Time, epoch uint64, reason string) {
	r.versions.epoch = epoch
	for _, id := range r.tableIDs() {
		if versions := r.tables[id].versions; versions != nil {
			versions.BeginEpoch(now, epoch, reason)
		}
	}
}

// LatestEpoch returns the highest epoch of version stamps, 0 if none is valid.
func LatestEpoch(stamps []string) (epoch uint64) {
	for _, stamp := range stamps {
		text, _, _ := strings.Cut(stamp, "/")
		if version, err := tableversion.ParseVersion(text); err == nil {
			epoch = max(epoch, version.Epoch)
		}
	}
	return epoch
}

// WeightFraction scales the weights of a server by a fraction from 0 to 1.
type WeightFraction struct {
	Server   fleet.ServerID
	Fraction float64
}

// ScaleWeights reduces the weights of servers in all tables to fractions of what the balancer orders, until a later
// call sets another fraction. A fraction of 1 restores them. The reason is stored with the new table versions.
func (r *Reconciler) ScaleWeights(now fleet.Time, fractions []WeightFraction, reason string) {
	changed := map[int32]bool{}
	for _, fraction := range fractions {
		i := r.serverIndex(fraction.Server)
		changed[i] = r.endpoints.servers[i].reduction != 1-fraction.Fraction
		r.endpoints.servers[i].reduction = 1 - fraction.Fraction
	}
	for _, id := range r.tableIDs() {
		table := r.tables[id]
		r.recordVersion(now, id, table, reason)
		r.eachProxyOn(id, func(proxy *proxyState) {
			dirty := 0
			for _, fraction := range fractions {
				i := r.endpoints.index[fraction.Server]
				if changed[i] && table.weights[i] > 0 && r.needsUpdate(proxy, i) {
					r.markDirty(proxy, itemKey{server: i}, false)
					dirty++
				}
			}
			if dirty > 0 {
				r.enqueue(now, proxy, dirty, nil)
			}
		})
	}
}

// recordVersion creates the next version of a table if the published weights differ from the latest version.
func (r *Reconciler) recordVersion(now fleet.Time, id fleet.TableID, table *tableState, reason string) {
	if r.versions.serverName == nil {
		return
	}
	if table.versions == nil {
		table.versions = tableversion.New(r.versions.epoch, r.versions.serverName, historyLimits)
	}
	entries := r.versions.entries[:0]
	for i := range r.endpoints.servers {
		server := r.endpoints.servers[i].id
		if weight := int(r.publishedWeight(id, table, int32(i))); weight != table.versions.Weight(server) {
			entries = append(entries, tableversion.Entry{Server: server, Weight: weight})
		}
	}
	r.versions.entries = entries
	table.versions.Change(now, entries, reason)
}

// TableVersions returns the versions of a table, nil if it has none.
func (r *Reconciler) TableVersions(id fleet.TableID) *tableversion.Table {
	if table := r.tables[id]; table != nil {
		return table.versions
	}
	return nil
}

// RestoreVersions creates the versions of a table from stored data, as an argument of Restore. SetEpoch has to be
// called first.
func (r *Reconciler) RestoreVersions(
	version tableversion.Version, digest tableversion.Digest, entries []tableversion.Entry, deltas []tableversion.Delta,
) (*tableversion.Table, error) {
	return tableversion.Restore(
		r.versions.epoch, r.versions.serverName, historyLimits, version, digest, entries, deltas)
}

// Restore sets the stored versions and the stored pin of a table; either may be nil. It must be called before the
// first order is applied.
func (r *Reconciler) Restore(id fleet.TableID, versions *tableversion.Table, pin *Pin) {
	table := r.ensureTable(id)
	if versions != nil {
		table.versions = versions
	}
	if pin == nil {
		return
	}
	for _, entry := range pin.Weights {
		r.serverIndex(entry.Server)
	}
	weights := make([]int16, len(r.endpoints.servers))
	for _, entry := range pin.Weights {
		weights[r.endpoints.index[entry.Server]] = int16(max(0, min(maxWeight, entry.Weight)))
	}
	table.pin = &tablePin{weights, pin.Until, pin.Reason}
}

// versionStamp returns the version and the digest of the table that a proxy has for a class, "" if there is none.
func (r *Reconciler) versionStamp(proxy *proxyState, class int) string {
	if !proxy.assigned[class] {
		return ""
	}
	table := r.tables[proxy.tables[class]]
	if table == nil || table.versions == nil {
		return ""
	}
	return table.versions.Version().String() + "/" + table.versions.Digest().String()
}

// appendVersionStamps adds to a message the table versions that the proxy reaches by applying it. It adds none while
// further changes are pending, refused or failed.
func (r *Reconciler) appendVersionStamps(proxy *proxyState, message *queuedMessage) {
	if len(proxy.dirty) > 0 || len(proxy.refused) > 0 || !proxy.failed.empty() {
		return
	}
	for class := range proxy.versionStamps {
		stamp := r.versionStamp(proxy, class)
		if stamp == "" || stamp == proxy.versionStamps[class] {
			continue
		}
		proxy.versionStamps[class] = stamp
		change := Change{Kind: UpdateVersion, Class: fleet.ClassID(class), VersionStamp: stamp}
		message.changes = append(message.changes, change)
		message.items = append(message.items, itemKey{noServer, fleet.ClassID(class)})
	}
}

// verifyVersions compares the digests of a joining proxy's entries with those in its version stamps. On a mismatch
// the entries were changed by other means while the proxy was disconnected: operators are notified, and the
// differences are corrected as usual.
func (r *Reconciler) verifyVersions(proxy *proxyState, entries []SnapshotEntry) {
	if r.versions.serverName == nil {
		return
	}
	for class, stamp := range proxy.versionStamps {
		_, claimed, found := strings.Cut(stamp, "/")
		if !found {
			continue
		}
		digest := tableversion.Digest(0)
		for _, entry := range entries {
			if int(entry.Class) == class {
				digest += tableversion.EntryDigest(r.versions.serverName(entry.Server), int(entry.State.Weight))
			}
		}
		if digest.String() == claimed {
			continue
		}
		proxy.versionStamps[class] = ""
		r.notify(Notice{Proxy: proxy.id, Text: fmt.Sprintf(
			"reports version %s, but its entries of class %s have digest %s; sending corrections",
			stamp, r.site.Classes[class].Name, digest)})
	}
}

// ForEachVersionStamp calls fn for each proxy and class with the version stamp last sent, "" if none was. newest
// reports whether it is the current version and no message to the proxy is in flight.
func (r *Reconciler) ForEachVersionStamp(fn func(id fleet.ProxyID, class fleet.ClassID, stamp string, newest bool)) {
	for _, proxy := range r.proxyOrder {
		for class, stamp := range proxy.versionStamps {
			newest := stamp != "" && stamp == r.versionStamp(proxy, class) && len(proxy.inFlight) == 0
			fn(proxy.id, fleet.ClassID(class), stamp, newest)
		}
	}
}
