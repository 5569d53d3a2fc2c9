package service

import (
	"fmt"
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/ingest/counters"
)

const (
	// maxReportSessions bounds the callers whose reports are numbered.
	maxReportSessions = 20_000
	// reportSessionRetention is how long a caller without a report is remembered: four of the longest waits between
	// retries.
	reportSessionRetention = 120 * fleet.Second
	// maxReportRows bounds the servers of a report.
	maxReportRows = 4096
	// maxCount bounds every count of one report: a larger one is an error of the caller.
	maxCount = 1 << 32
	// millisPerSecond turns maxCount of answers into a bound of their summed times.
	millisPerSecond = 1000
	// loadUnit is the value of a full load in a report.
	loadUnit = 1000
	// unknownServer marks a server that this controller does not know.
	unknownServer = fleet.ServerID(1<<32 - 1)
	// unknownClass marks a class that does not exist.
	unknownClass = -1
)

// tooManyReportSessions is the text of the error for a session beyond maxReportSessions.
var tooManyReportSessions = fmt.Sprintf("limit of %d report sessions reached", maxReportSessions)

// reportSession is the state of one caller's reports.
type reportSession struct {
	sequence uint64 // of the newest report
	lastSeen fleet.Time
}

// Report counts a batch, all of it or nothing, and returns the number of the newest batch that is counted. Rows of
// servers that this controller does not know are left out.
func (h *Hub) Report(r *Report) (uint64, *Error) {
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
	session, err := h.session(r.Session)
	if err != nil {
		return 0, err
	}
	session.lastSeen = h.options.Now()
	if r.Sequence <= session.sequence { // a repetition
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

// checkOutcomes returns the servers of the rows, unknownServer for those of another controller's list.
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

// checkDemands returns the positions of the rows' classes.
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

// session returns the report session of a caller, a new one at its first report.
func (h *Hub) session(id uint64) (*reportSession, *Error) {
	session := h.sessions[id]
	if session != nil {
		return session, nil
	}
	if len(h.sessions) >= maxReportSessions {
		return nil, &Error{Overloaded, tooManyReportSessions, maxRetryAfter}
	}
	session = &reportSession{}
	h.sessions[id] = session
	return session, nil
}

func (h *Hub) expireSessions(now fleet.Time) {
	for id, session := range h.sessions {
		if now >= session.lastSeen+reportSessionRetention {
			delete(h.sessions, id)
		}
	}
}

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
