package balancer

import "cressknot/internal/fleet"

// entries returns the table that a proxy uses for a class.
func (f *simulatedFleet) entries(proxy *fakeProxy, class int) map[fleet.ServerID]float64 {
	if proxy.assignedTables[class] != noTable {
		return f.tables[fleet.TableID(proxy.assignedTables[class])]
	}
	return proxy.ownTables[class]
}

// fractions returns the fraction of a proxy's requests of a class that each server gets.
func (f *simulatedFleet) fractions(proxy *fakeProxy, class int) map[fleet.ServerID]float64 {
	total := 0.0
	fractions := map[fleet.ServerID]float64{}
	for _, server := range f.servers { // in a fixed order, so that the sums are the same each time
		weight := f.entries(proxy, class)[server.Server]
		if weight > 0 && !proxy.withdrawn[server.Server] {
			total += weight
			fractions[server.Server] = weight
		}
	}
	for id := range fractions {
		fractions[id] /= total
	}
	return fractions
}

// requestRates returns the requests per second that each server receives from joined proxies, by zone of the proxies.
func (f *simulatedFleet) requestRates() map[fleet.ServerID][]float64 {
	rates := map[fleet.ServerID][]float64{}
	for _, server := range f.servers {
		rates[server.Server] = make([]float64, len(f.site.Zones))
	}
	for _, proxy := range f.proxies {
		if !proxy.joined {
			continue
		}
		for class := range proxy.ownTables {
			for id, fraction := range f.fractions(proxy, class) {
				rates[id][proxy.zone] += f.admittedRate(proxy, class) * fraction
			}
		}
	}
	return rates
}

// requestRate returns the requests per second that a server receives.
func (f *simulatedFleet) requestRate(id fleet.ServerID) float64 { return sum(f.requestRates()[id]) }

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// admittedRate returns the requests per second of a class that a proxy admits.
func (f *simulatedFleet) admittedRate(proxy *fakeProxy, class int) float64 {
	limit, limited := f.admissionLimits[class]
	if !limited {
		return proxy.demand
	}
	switch f.site.Admission {
	case fleet.AdmissionFraction:
		return proxy.demand * min(1, limit)
	case fleet.AdmissionRate:
		return min(proxy.demand, limit)
	}
	return proxy.demand
}

// capacity returns the requests per second that a server handles at this point of its slow start.
func (f *simulatedFleet) capacity(server *fakeServer) float64 {
	if server.Started == 0 {
		return fakeServerCapacity
	}
	slowStart := &f.site.SlowStart
	elapsed := (f.now - server.Started).Seconds() / slowStart.Duration.Seconds()
	warm := slowStart.InitialFraction + (1-slowStart.InitialFraction)*elapsed
	return fakeServerCapacity * min(1, warm)
}

// reports returns the reports of servers and proxies on the last report interval.
func (f *simulatedFleet) reports() []fleet.Event {
	var events []fleet.Event
	rates := f.requestRates()
	for _, server := range f.servers {
		events = append(events, f.outcomeReports(server, rates[server.Server])...)
	}
	for id, proxy := range f.proxies {
		if !proxy.joined {
			continue
		}
		for class := range f.site.Classes {
			events = append(events, fleet.DemandReport{
				Proxy:    fleet.ProxyID(id),
				Class:    fleet.ClassID(class),
				Requests: f.reportedCount(proxy.demand),
				Interval: f.site.ReportInterval,
			})
		}
	}
	return events
}

// outcomeReports returns the reports on a server by the proxies of each zone.
func (f *simulatedFleet) outcomeReports(server *fakeServer, rates []float64) []fleet.Event {
	var events []fleet.Event
	rate := sum(rates)
	capacity := f.capacity(server)
	utilization := float32(min(1, rate/capacity))
	failedFraction := max(server.failedFraction, 1-capacity/max(1, rate))
	for zone := range f.site.Zones {
		attempts := f.reportedCount(rates[zone])
		if attempts == 0 || server.unresponsive || server.State == fleet.ServerGone {
			continue
		}
		events = append(events, fleet.OutcomeReport{
			Server:   server.Server,
			Attempts: attempts,
			Failures: uint32(float64(attempts) * failedFraction),
			Latency:  200 * fleet.Millisecond,
			Interval: f.site.ReportInterval,
			Zone:     fleet.ZoneID(zone),
			Load:     []float32{1, utilization},
		})
	}
	return events
}

// reportedCount returns the number of requests at a rate in a report interval, randomly rounded to an integer.
func (f *simulatedFleet) reportedCount(rate float64) uint32 {
	return uint32(rate*f.site.ReportInterval.Seconds() + f.rng.Float64())
}
