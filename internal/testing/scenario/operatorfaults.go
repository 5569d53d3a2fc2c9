package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cressknot/internal/testing/fakes"
)

const (
	// pushInterval is the pause between two rounds of weights set by hand.
	pushInterval = 300 * time.Millisecond
	// rollbackTimeout bounds the measurement of a rollback.
	rollbackTimeout = 10 * time.Second
	// noPush stands for a weight that is not set.
	noPush = -1
)

// Kinds of weights that are set by hand, by their names in scenario files.
const (
	pushEmpty   = "empty"   // withdraws all servers
	pushDrained = "drained" // gives draining and dead servers the maximum weight
	pushCrowd   = "crowd"   // gives all weight to a server in slow start
)

// pushTables repeatedly sets weights by hand through the operators' sockets, and counts the accepted and the rejected
// ones. It clears them at the end.
func (r *runner) pushTables(ctx context.Context, spec FaultSpec) {
	repeat(ctx, spec.Duration, func() {
		r.pushWeights(spec.Push)
		sleep(ctx, pushInterval)
	})
	for _, c := range r.controllers {
		for _, node := range r.nodes {
			_, _ = sendCommand(c.socket, fmt.Sprintf("clear weight 0/%s\n", node.Name))
		}
	}
}

func (r *runner) pushWeights(kind string) {
	newest := r.newestNode()
	for _, c := range r.controllers {
		for _, node := range r.nodes {
			weight := r.pushedWeight(kind, node, newest)
			if weight == noPush {
				continue
			}
			answer, err := sendCommand(c.socket, fmt.Sprintf("set weight 0/%s %d\n", node.Name, weight))
			if err == nil {
				r.countPush(!strings.HasPrefix(answer, "Refused"))
			}
		}
	}
}

// pushedWeight returns the weight to set by hand for a server, or noPush.
func (r *runner) pushedWeight(kind string, node, newest *fakes.Node) int {
	slowStart := time.Since(newest.Started()) < time.Duration(r.Spec.Servers.ColdFor)
	switch {
	case kind == pushEmpty:
		return 0
	case kind == pushDrained && r.listService.State(node.Name) != "ready":
		return maxWeight
	case kind == pushCrowd && slowStart && node == newest:
		return maxWeight
	case kind == pushCrowd && slowStart:
		return 0
	}
	return noPush
}

func (r *runner) countPush(accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if accepted {
		r.report.PushesAccepted++
	} else {
		r.report.PushesRejected++
	}
}

// badTable sets weights by hand on each controller that give most requests to one server, and rolls the table back
// after the fault's duration.
func (r *runner) badTable(ctx context.Context, spec FaultSpec) {
	for i, c := range r.controllers {
		history, err := sendCommand(c.socket, "table history 0\n")
		lines := strings.Split(strings.TrimSpace(history), "\n")
		if err != nil || len(lines) < 2 {
			r.reportProblem("%s: table history has no version to roll back to: error %v, answer %q", c.name, err, history)
			return
		}
		good := strings.Fields(lines[len(lines)-1])[1]
		for k, node := range r.nodes {
			weight := 1
			if k == 0 {
				weight = maxWeight
			}
			r.setWeight(c, node.Name, weight)
		}
		r.runInBackground(func() {
			if wait(ctx, spec.Duration) {
				r.measureRollback(ctx, i, good)
			}
		})
	}
}

// setWeight sets a weight by hand. If the guard rejects it and offers a command that overrides the guard, it sends that
// command.
func (r *runner) setWeight(c *controllerProcess, node string, weight int) {
	answer, err := sendCommand(c.socket, fmt.Sprintf("set weight 0/%s %d\n", node, weight))
	if _, forced, offered := strings.Cut(answer, "within 30 s: "); err == nil && offered {
		answer, err = sendCommand(c.socket, strings.TrimSpace(forced)+"\n")
	}
	r.countPush(err == nil && strings.TrimSpace(answer) == "")
}

// measureRollback rolls a controller's table back, and measures the time from the command until each of the
// controller's proxies has that version.
func (r *runner) measureRollback(ctx context.Context, index int, good string) {
	c := r.controllers[index]
	began := time.Now()
	answer, err := sendCommand(c.socket, "table rollback 0 "+good+" 5m\n")
	_, rest, ok := strings.Cut(answer, "as version ")
	version, _, _ := strings.Cut(rest, ",")
	if err != nil || !ok {
		r.reportProblem("%s: rollback to version %s: error %v, answer %q", c.name, good, err, answer)
		return
	}
	waiting := map[int]bool{}
	for i := range r.proxies {
		if r.ownerByProxy[i] == index {
			waiting[i] = true
		}
	}
	for len(waiting) > 0 && time.Since(began) < rollbackTimeout && ctx.Err() == nil {
		for i := range waiting {
			if strings.HasPrefix(r.proxies[i].MapEntry(r.versionKey()), version+"/") {
				delete(waiting, i)
				r.recordRollback(time.Since(began))
			}
		}
		sleep(ctx, checkInterval/2)
	}
	if len(waiting) > 0 {
		r.reportProblem("%d proxies of %s did not get version %s within %s of the rollback",
			len(waiting), c.name, version, rollbackTimeout)
	}
}

func (r *runner) recordRollback(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Rollbacks = append(r.report.Rollbacks, duration.Seconds())
}
