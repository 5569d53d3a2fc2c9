package balancer

type randomGenerator struct{ state, carry uint32 } // a multiply-with-carry generator

func (c *randomGenerator) float64() float64 {
	t := 4294957665*uint64(c.state) + uint64(c.carry)
	c.state, c.carry = uint32(t), uint32(t>>32)
	return float64(c.state) / (1 << 32)
}
