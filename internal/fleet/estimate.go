package fleet

// ServerEstimate is what the balancer knows of a server at the moment, for logs and operators.
type ServerEstimate struct {
	Server       ServerID
	State        ServerState
	WarmingUp    bool
	Withdrawn    bool
	Attempts     float64 // reported over the long observation window
	Failures     float64 // of those
	Utilization  float64 // negative: not reported
	Latency      Time
	Capacity     float64   // requests per second at full utilization
	RequestRate  float64   // requests per second that the balancer's tables send it
	HealthFactor float64   // fraction of its weight that outlier detection leaves it
	Fractions    []float64 // of each table in use, the part of the weight that is ordered for it
}
