package service

import (
	"fmt"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const (
	// maxReportSessions bounds the number of report sessions, maxAddressSessions those that one address has begun.
	maxReportSessions  = 20_000
	maxAddressSessions = maxReportSessions / 8
	// reportSessionRetention is how long a session is kept after its last report: four times the longest delay between
	// retries of a client.
	reportSessionRetention = 120 * fleet.Second
	// maxReportRows bounds the number of server rows in a report.
	maxReportRows = 4096
	// maxCount bounds every count in a report; a larger one can only be an error of the caller.
	maxCount = 1 << 32
	// millisPerSecond, times maxCount, bounds the sum of latencies in a report.
	millisPerSecond = 1000
	// loadUnit is the value of full load in a report, as loads are in thousandths.
	loadUnit = 1000
	// unknownServer stands for a server that this controller does not know.
	unknownServer = fleet.ServerID(1<<32 - 1)
	// unknownClass is the index of a class that is not configured.
	unknownClass = -1
)

// The error texts for sessions beyond maxReportSessions and maxAddressSessions.
var (
	tooManyReportSessions  = fmt.Sprintf("limit of %d report sessions reached", maxReportSessions)
	tooManyAddressSessions = fmt.Sprintf("limit of %d report sessions of one address reached", maxAddressSessions)
)

// reportSession detects repeated reports of one caller.
type reportSession struct {
	sequence uint64 // of the newest report, 0 for none
	lastSeen fleet.Time
	address  string // of the caller that began it
}

// Report adds a batch to the counters of its zone, completely or not at all, and returns the sequence number of the
// newest batch that the session has counted. A repeated batch is not counted again. Rows of servers that this
// controller does not know are skipped.
func (h *Hub) Report(caller Caller, r *Report) (uint64, *Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	z, err := h.zoneByName(r.Zone)
	if err != nil {
		return 0, err
	}
	if len(r.Outcomes) > maxReportRows || len(r.Demands) > len(h.options.Classes) {
		return 0, errorf(TooLarge, "report has %d server rows and %d class rows, the limits are %d and %d",
			len(r.Outcomes), len(r.Demands), maxReportRows, len(h.options.Classes))
	}
	servers, err := h.checkOutcomes(r.Outcomes)
	if err != nil {
		return 0, err
	}
	classes, err := h.checkDemands(r.Demands)
	if err != nil {
		return 0, err
	}
	session, err := h.session(caller, r.Session)
	if err != nil {
		return 0, err
	}
	session.lastSeen = h.options.Now()
	if r.Sequence <= session.sequence { // already counted
		return session.sequence, nil
	}
	session.sequence = r.Sequence
	for i := range r.Outcomes {
		if servers[i] != unknownServer {
			z.addOutcome(servers[i], &r.Outcomes[i])
		}
	}
	for i, demand := range r.Demands {
		total := &z.classCounters[classes[i]]
		total.Requests += demand.Requests
		total.Unanswered += demand.Unanswered
	}
	return session.sequence, nil
}

// checkOutcomes validates the server rows and returns the ids of their servers. Servers that are known to another
// controller only have the id unknownServer.
func (h *Hub) checkOutcomes(outcomes []ServerOutcome) ([]fleet.ServerID, *Error) {
	maxLoads := len(counters.ServerCounters{}.Load)
	servers := make([]fleet.ServerID, len(outcomes))
	for i, o := range outcomes {
		server, known := h.options.Names.Server(o.Server)
		if !known {
			server = unknownServer
		}
		servers[i] = server
		if o.Attempts > maxCount || o.Failures > o.Attempts || o.Successes > o.Attempts ||
			o.SuccessMillis > maxCount*millisPerSecond || len(o.Load) > maxLoads {
			return nil, errorf(BadRequest, "met[%d]: server %q: invalid counts: tries=%d (at most %d), "+
				"failed=%d and good=%d (each at most tries), good_ms=%d (at most %d), %d load values (at most %d)",
				i, o.Server, o.Attempts, uint64(maxCount), o.Failures, o.Successes,
				o.SuccessMillis, uint64(maxCount*millisPerSecond), len(o.Load), maxLoads)
		}
	}
	return servers, nil
}

// checkDemands validates the class rows and returns the indexes of their classes.
func (h *Hub) checkDemands(demands []ClassDemand) ([]int, *Error) {
	classes := make([]int, len(demands))
	for i, demand := range demands {
		classes[i] = slices.IndexFunc(h.options.Classes, func(class fleet.RequestClass) bool {
			return class.Name == demand.Class
		})
		if classes[i] == unknownClass {
			return nil, errorf(NoClass, "came[%d]: class %.*q is not configured", i, maxNameLength, demand.Class)
		}
		if demand.Requests > maxCount || demand.Unanswered > demand.Requests {
			return nil, errorf(BadRequest,
				"came[%d]: class %q: invalid counts: visits=%d (at most %d), no_answer=%d (at most visits)",
				i, demand.Class, demand.Requests, uint64(maxCount), demand.Unanswered)
		}
	}
	return classes, nil
}

// session returns the report session with an id, and creates it at the first report. A session is never removed
// before it expires, as a report of it could count twice then.
func (h *Hub) session(caller Caller, id uint64) (*reportSession, *Error) {
	session := h.sessions[id]
	if session != nil {
		return session, nil
	}
	switch {
	case !caller.Claims.take(h.options.Now()):
		return nil, &Error{Overloaded, newSessionsRejected, fleet.Second}
	case h.addressSessions[caller.Address] >= maxAddressSessions:
		return nil, &Error{Overloaded, tooManyAddressSessions, maxRetryAfter}
	case len(h.sessions) >= maxReportSessions:
		return nil, &Error{Overloaded, tooManyReportSessions, maxRetryAfter}
	}
	session = &reportSession{address: caller.Address}
	h.sessions[id] = session
	h.addressSessions[caller.Address]++
	return session, nil
}

func (h *Hub) expireSessions(now fleet.Time) {
	for id, session := range h.sessions {
		if now >= session.lastSeen+reportSessionRetention {
			delete(h.sessions, id)
			h.addressSessions[session.address]--
			if h.addressSessions[session.address] == 0 {
				delete(h.addressSessions, session.address)
			}
		}
	}
}

// addOutcome adds a row to the counters of its server. Load values replace the previous ones.
func (z *zoneHub) addOutcome(server fleet.ServerID, outcome *ServerOutcome) {
	total := z.serverCounters[server]
	if total == nil {
		total = &counters.ServerCounters{}
		z.serverCounters[server] = total
	}
	total.Attempts += outcome.Attempts
	total.Failures += outcome.Failures
	total.Successes += outcome.Successes
	total.SuccessMillis += outcome.SuccessMillis
	for i, load := range outcome.Load {
		total.Load[i] = float32(load) / loadUnit
		total.HasLoad = true
	}
}
