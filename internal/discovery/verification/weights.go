package verification

const (
	// reachableTrust is the least weight factor of a server that accepts connections: another one may be at its address.
	reachableTrust = 0.5

	// maxUnknownShare is the part of all requests that the servers may get of which nothing is known.
	maxUnknownShare = 0.25

	// maxOverload is how many times its even share a known server may get for want of others.
	maxOverload = 2
)

// unknownWeightBounds gives the weight factors of servers of which nothing is known.
type unknownWeightBounds struct {
	bounded bool // lowest and highest apply, as other servers are known
	lowest  float64
	highest float64
}

// newUnknownWeightBounds bounds the weight of unknown servers, all of them together, while others are known; but not so far that
// the known ones are overloaded.
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

func (r unknownWeightBounds) factor(trust float64) float64 {
	if !r.bounded {
		return trust
	}
	return min(1, max(minTrust, r.lowest, min(trust, r.highest)))
}

// worth returns the weight factor of a server by its verdict. Two servers that share an address share their weight.
func (v *Verifier) targetFactor(c *candidate, rule unknownWeightBounds) float64 {
	worth := c.verdictFactor(rule)
	other := c.sharesAddress
	if other == nil || c.verdict == VerdictConfirmed || other.verdict == VerdictRefuted {
		return worth
	}
	if v.byServer[other.Endpoint.Server] != other {
		return worth
	}
	return worth / 2
}

func (c *candidate) verdictFactor(rule unknownWeightBounds) float64 {
	switch c.verdict {
	case VerdictRefuted:
		return minTrust
	case VerdictUnknown:
		return rule.factor(c.trust)
	case VerdictReachable:
		return max(reachableTrust, c.trust)
	}
	return 1
}
