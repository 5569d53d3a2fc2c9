package fleet

// ServerEstimate holds the present estimates of a server for logs and operators.
type ServerEstimate struct {
	Server         ServerID
	State          ServerState
	WarmingUp      bool
	Withdrawn      bool
	Attempts       float64   // reported in the long window of the balancer
	Failures       float64   // failed ones among Attempts
	Utilization    float64   // mean over the same window; negative: not reported
	Latency        Time      // mean of the successful attempts; 0: none
	Capacity       float64   // requests per second at full utilization
	RequestRate    float64   // requests per second that the balancer's tables send to it
	HealthFactor   float64   // factor that outlier detection applies to its weight; 0: ejected
	TableFractions []float64 // its fraction of the ordered weight of each table in use
}
