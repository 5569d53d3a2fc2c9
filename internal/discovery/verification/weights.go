package verification

const (
	// reachableFactor is the minimum weight factor of a server whose address accepts connections. It is below 1 because a
	// different server may have taken over the address.
	reachableFactor = 0.5

	// maxUnknownShare is the maximum fraction of all requests for all unknown servers together.
	maxUnknownShare = 0.25

	// maxOverload is the maximum load of a known server, as a multiple of its load if all servers were used evenly.
	maxOverload = 2
)

// unknownWeightBounds are the bounds of the weight factor of an unknown server, one with VerdictUnknown. Servers with
// VerdictReachable, VerdictProven or VerdictConfirmed are known; those with VerdictRefuted are neither.
type unknownWeightBounds struct {
	bounded bool    // lowest and highest apply: there are known and unknown servers
	lowest  float64 // takes precedence over highest
	highest float64
}

// newUnknownWeightBounds limits the total weight of the unknown servers while there are known ones, but not so far that
// the known servers are overloaded.
func (v *Verifier) newUnknownWeightBounds() unknownWeightBounds {
	known := 0.0
	unknown := 0.0
	for _, c := range v.candidates {
		switch c.verdict {
		case VerdictRefuted:
		case VerdictUnknown:
			unknown++
		default:
			known++
		}
	}
	if known == 0 || unknown == 0 {
		return unknownWeightBounds{}
	}
	return unknownWeightBounds{
		bounded: true,
		lowest:  ((known+unknown)/maxOverload - known) / unknown,
		highest: maxUnknownShare / (1 - maxUnknownShare) * known / unknown,
	}
}

// factor returns the weight factor of an unknown server: the one that follows from the age of the list, within the
// bounds.
func (b unknownWeightBounds) factor(byAge float64) float64 {
	if !b.bounded {
		return byAge
	}
	return min(1, max(minUnverifiedFactor, b.lowest, min(byAge, b.highest)))
}

// targetFactor returns the weight factor that the server should have. It is halved while the server shares its address
// with another candidate and it is not known which of them has it.
func (v *Verifier) targetFactor(c *candidate, bounds unknownWeightBounds) float64 {
	factor := c.verdictFactor(bounds)
	other := c.sharesAddress
	if other == nil || c.verdict == VerdictConfirmed || other.verdict == VerdictRefuted {
		return factor
	}
	if v.byServer[other.Endpoint.Server] != other {
		return factor
	}
	return factor / 2
}

// verdictFactor returns the weight factor for the verdict of the server, regardless of other servers at its address.
func (c *candidate) verdictFactor(bounds unknownWeightBounds) float64 {
	switch c.verdict {
	case VerdictRefuted:
		return minUnverifiedFactor
	case VerdictUnknown:
		return bounds.factor(c.unverifiedFactor)
	case VerdictReachable:
		return max(reachableFactor, c.unverifiedFactor)
	}
	return 1
}
