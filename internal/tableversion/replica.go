package tableversion

import (
	"fmt"
	"maps"
)

// Replica is a follower's copy of a table, for example in a proxy or a client library. The zero value is an empty copy
// at NoVersion.
type Replica struct {
	version Version
	digest  Digest
	weights map[string]int
}

// NamedEntry is an entry as it is transmitted, with the server's name instead of its id.
type NamedEntry struct {
	Server string
	Weight int
}

// MismatchError reports a delta that does not apply to a copy, or content that does not match its digest. A Replica
// stays unchanged; its owner has to request the complete table.
type MismatchError struct{ Detail string }

func (e *MismatchError) Error() string { return e.Detail }

// Version returns the version and the digest of the copy.
func (r *Replica) Version() (Version, Digest) { return r.version, r.digest }

// Weights returns the weights of the copy by server name. Callers must not change the map.
func (r *Replica) Weights() map[string]int { return r.weights }

// Apply applies a delta completely or not at all. The entries given are those of the delta with the servers' names. A
// delta to an older version than the replica's, or to the same version with the same digest, changes nothing and
// returns nil. Any other delta must start at the version and digest of the replica, unless it starts at NoVersion and
// so is the complete table. If it starts elsewhere, or the result does not have its ToDigest, Apply returns a
// MismatchError.
func (r *Replica) Apply(delta Delta, entries []NamedEntry) error {
	newer := delta.To.Compare(r.version) > 0
	digestDiffers := delta.To == r.version && delta.ToDigest != r.digest
	if !newer && !digestDiffers {
		return nil
	}
	next := Replica{version: delta.To, weights: map[string]int{}}
	if delta.From != NoVersion {
		if delta.From != r.version || delta.FromDigest != r.digest {
			return &MismatchError{fmt.Sprintf("delta starts at version %s (digest %s), the copy is at version %s (digest %s)",
				delta.From, delta.FromDigest, r.version, r.digest)}
		}
		next.digest = r.digest
		maps.Copy(next.weights, r.weights)
	}
	for _, entry := range entries {
		next.digest += EntryDigest(entry.Server, entry.Weight) - EntryDigest(entry.Server, next.weights[entry.Server])
		if entry.Weight == 0 {
			delete(next.weights, entry.Server)
		} else {
			next.weights[entry.Server] = entry.Weight
		}
	}
	if next.digest != delta.ToDigest {
		return &MismatchError{fmt.Sprintf("digest mismatch at version %s: want %s, the received entries give %s",
			delta.To, delta.ToDigest, next.digest)}
	}
	*r = next
	return nil
}
