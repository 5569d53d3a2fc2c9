package balancer

// randomMultiplier is the multiplier of the multiply-with-carry generator with 32-bit words.
const randomMultiplier = 4294957665

// randomGenerator is a multiply-with-carry generator of pseudo-random numbers. The balancer does not use the standard
// library's, so that equal seeds give equal orders with every release of Go.
type randomGenerator struct {
	state uint32
	carry uint32
}

func newRandomGenerator(seed uint64) randomGenerator {
	return randomGenerator{
		state: uint32(seed) | 1, // neither word may be zero
		carry: uint32(seed>>33) | 1,
	}
}

// float64 returns the next number, in [0, 1).
func (r *randomGenerator) float64() float64 {
	next := randomMultiplier*uint64(r.state) + uint64(r.carry)
	r.state = uint32(next)
	r.carry = uint32(next >> 32)
	return float64(r.state) / (1 << 32)
}
