package tableversion

import (
	"fmt"
	"maps"
)

// Replica is a follower's copy of a table: that of a proxy or of a client library. The zero value is an empty copy.
type Replica struct {
	version Version
	digest  Digest
	weights map[string]int
}

// NamedEntry is an entry as it is transmitted, with the name of the server.
type NamedEntry struct {
	Server string
	Weight int
}

// MismatchError reports a delta that does not fit. What the copy had stays; the complete table has to be requested.
type MismatchError struct{ Detail string }

func (e *MismatchError) Error() string { return e.Detail }

// Version returns version and digest of the copy.
func (r *Replica) Version() (Version, Digest) { return r.version, r.digest }

// Weights returns the weights of the copy by server. They must not be changed.
func (r *Replica) Weights() map[string]int { return r.weights }

// Apply takes a delta completely or not at all. A delta to the version of the copy or an older one changes nothing.
// One that begins at another version, or does not lead to the digest that it states, is a MismatchError. A delta
// from NoVersion is the complete table.
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
