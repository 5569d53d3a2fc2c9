package balancer

import (
	"cmp"
	"math"
	"slices"

	"cressknot/internal/fleet"
)

const (
	// unlimitedAdmission is a limit, as a fraction or as requests per second at a proxy, that admits all requests.
	unlimitedAdmission = 1e6
	// minAdmittedFraction is the fraction of the requests of each class that is always admitted.
	minAdmittedFraction = 0.1
	// admissionStep is the largest rise of the admitted fraction of a class per estimate.
	admissionStep = 0.1
	// minAdmissionChange is the relative change of a limit above which it is sent to the proxies.
	minAdmissionChange = 0.1
	// minRequestRate is the number of requests per second below which there is no load to measure.
	minRequestRate = 1e-9
	// minWorkPerRequest replaces a latency objective of zero.
	minWorkPerRequest = 1e-9
)

// admissionState is the state of admission: which classes to cut first when the fleet cannot handle all requests in
// time, and whether proxies may retry. The limits are in requestClass.
type admissionState struct {
	classesByValue []int // in ascending order of value per work
	retry          fleet.RetryMode
}

// requestClass is the state of a request class: its settings, its measured demand and its latest orders.
type requestClass struct {
	valuePerWork   float64 // priority weight divided by workPerRequest
	workPerRequest float64 // in seconds, estimated by the latency objective
	// tableGroup is the group of tables that the class uses: sharedGroup, lowPriorityGroup while load shedding restricts
	// the class, or a group of its own for a zone-local class.
	tableGroup       int
	demand           float64 // requests per second that clients send
	admittedFraction float64 // fraction of the demand to admit
	sentAdmission    fleet.SetAdmission
}

func newRequestClasses(site *fleet.Site) []requestClass {
	classes := make([]requestClass, len(site.Classes))
	for i := range site.Classes {
		settings := &site.Classes[i]
		work := max(minWorkPerRequest, settings.LatencyObjective.Seconds())
		classes[i] = requestClass{
			valuePerWork:     settings.PriorityWeight / work,
			workPerRequest:   work,
			tableGroup:       sharedGroup,
			admittedFraction: 1,
			sentAdmission:    fleet.SetAdmission{Limit: unlimitedAdmission, Retry: site.DefaultRetry},
		}
		if settings.ZoneLocal {
			classes[i].tableGroup = firstZoneLocalGroup + i
		}
	}
	return classes
}

// classesByValue returns the indices of classes in ascending order of their value per work.
func classesByValue(classes []requestClass) []int {
	order := make([]int, len(classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(classes[x].valuePerWork, classes[y].valuePerWork)
	})
	return order
}

// fleetCapacity is the capacity of the ready servers.
type fleetCapacity struct {
	serving     float64 // servers that are in tables, in units of a fully warm server
	joining     float64 // servers that are in no table yet, in the same unit
	successRate float64 // requests per second that the measured servers handled
	utilization float64 // sum of the utilizations of the measured servers
}

// updateAdmission sets the admitted fractions to what the fleet can handle in time, cutting the classes of the lowest
// value first. Proxies of an overloaded fleet must not retry.
func (b *Balancer) updateAdmission() {
	capacity := b.measureFleetCapacity()
	demand := 0.0
	for i := range b.classes {
		demand += b.classes[i].demand
	}
	if capacity.utilization == 0 || capacity.successRate == 0 || demand < minRequestRate {
		return
	}
	// The load is the utilization at which all requests would be handled.
	load := demand / (capacity.successRate / capacity.utilization * capacity.serving)
	listed := capacity.serving + capacity.joining
	b.updateShedding(load*capacity.serving/listed, listed)

	excess := demand * max(0, 1-maxTargetUtilization/load)
	b.admission.retry = fleet.RetryNever
	if excess == 0 {
		b.admission.retry = fleet.RetryIfNotExecuted
	}
	if b.site.Admission != fleet.AdmissionUnlimited {
		b.cutAdmission(excess)
	}
}

// measureFleetCapacity sums up the capacity and the measurements of the ready servers.
func (b *Balancer) measureFleetCapacity() fleetCapacity {
	var capacity fleetCapacity
	for _, server := range b.endpoints.ready {
		usable := min(1, server.healthFactor+healthRecoveryStep) * b.warmFraction(server)
		if server.healthFactor > 0 && (server.requestRate > minRequestRate || b.schedule.observing) {
			capacity.serving += usable
		} else if server.healthFactor > 0 {
			capacity.joining += usable
		}
		if b.servesAllClasses(server) && server.shortWindow.utilization >= 0 {
			capacity.successRate += server.shortWindow.successRate * b.lostAnswerFactor(server)
			capacity.utilization += server.shortWindow.utilization
		}
	}
	return capacity
}

// lostAnswerFactor returns the factor that corrects the success rate of a server for answers that were lost although
// it has spare capacity, as these do not mean that the fleet is too small.
func (b *Balancer) lostAnswerFactor(server *serverState) float64 {
	window := &server.shortWindow
	if window.utilization >= overloadedUtilization || b.site.Admission == fleet.AdmissionUnlimited {
		return 1
	}
	return window.attempts / max(1, window.successes)
}

// cutAdmission reduces the admitted requests by excess per second, in the classes of the lowest value first.
func (b *Balancer) cutAdmission(excess float64) {
	for _, i := range b.admission.classesByValue {
		class := &b.classes[i]
		cut := min(excess, class.demand*(1-minAdmittedFraction))
		excess -= cut
		admitted := 1 - cut/max(class.demand, epsilon)
		class.admittedFraction = min(admitted, class.admittedFraction+admissionStep)
	}
}

// admissionLimit returns the limit to order for a class: a fraction, or requests per second at each proxy.
func (b *Balancer) admissionLimit(class int) float64 {
	fraction := b.classes[class].admittedFraction
	if fraction >= 1 {
		return unlimitedAdmission
	}
	if b.site.Admission == fleet.AdmissionFraction {
		return fraction
	}
	return b.proxyRateLimit(class)
}

// proxyRateLimit returns the limit in requests per second at each proxy that admits the admitted fraction of the demand
// of a class in total. Proxies with a lower rate are not limited.
func (b *Balancer) proxyRateLimit(class int) float64 {
	var rates []float64
	for _, proxy := range b.proxies.all {
		rates = append(rates, b.proxyRequestRate(proxy, class))
	}
	slices.Sort(rates)
	remaining := b.classes[class].admittedFraction * b.classes[class].demand
	for i, rate := range rates {
		limit := remaining / float64(len(rates)-i)
		if rate >= limit {
			return limit
		}
		remaining -= rate
	}
	return unlimitedAdmission
}

// publishAdmission emits the limits and retry modes that have changed, as far as the capacity of the update channel, in
// entries, allows. It returns the remaining capacity.
func (b *Balancer) publishAdmission(capacity float64) float64 {
	proxyCount := float64(len(b.proxies.all))
	for i := range b.classes {
		sent := &b.classes[i].sentAdmission
		order := fleet.SetAdmission{
			Table:   fleet.AllTables,
			Classes: classBit(i),
			Limit:   float32(b.admissionLimit(i)),
			Retry:   b.admission.retry,
		}
		limitChanged := math.Abs(float64(order.Limit/sent.Limit-1)) > minAdmissionChange
		if capacity > proxyCount && (limitChanged || order.Retry != sent.Retry) {
			*sent = order
			capacity -= proxyCount
			b.broadcast(order, proxyCount)
		}
	}
	return capacity
}
