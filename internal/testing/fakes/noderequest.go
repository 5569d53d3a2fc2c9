package fakes

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// hangTimeout ends a request that is never answered.
	hangTimeout = 30 * time.Second
	// The work of a request is multiplied by a random factor from minWorkFactor to minWorkFactor+workJitter.
	minWorkFactor = 0.7
	workJitter    = 0.6
	// serviceTimeSmoothing is the weight of the newest service time in the moving average.
	serviceTimeSmoothing = 0.1
	// loadUnit is the scale of load values, which are sent in thousandths.
	loadUnit = 1000
)

// nodeRequest is one request at a node.
type nodeRequest struct {
	node          *Node
	class         string
	id            uint64
	fault         Fault
	injectedError bool // the fault fails this request
	answerLost    bool // the fault drops the answer to this request
	queueFull     bool // rejected without execution
	work          time.Duration
	resume        chan struct{} // closed when a pause ends
	crashed       chan struct{} // closed when the process dies
	slots         chan struct{}
}

// serve handles a health check at /probe, or a request at any other path.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/probe" {
		n.serveHealthCheck(w)
		return
	}
	request := n.startRequest(r)
	defer n.endRequest()
	time.Sleep(request.fault.LinkDelay)
	request.waitForResume()
	switch {
	case request.fault.Hang:
		n.watch.RequestExecuted(n.Name, request.class, request.id) // it may have been executed
		request.hang(r)
	case request.injectedError:
		n.countOutcome(false, 0)
		n.watch.RequestExecuted(n.Name, request.class, request.id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case request.queueFull:
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	request.waitForSlot(r)
	n.watch.RequestExecuted(n.Name, request.class, request.id)
	began := time.Now()
	request.execute()
	n.completeExecution(w, request, time.Since(began))
	if request.answerLost {
		request.hang(r)
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveHealthCheck(w http.ResponseWriter) {
	n.mu.Lock()
	n.updateBusy()
	n.writeLoadHeader(w)
	n.mu.Unlock()
	w.Header().Set(headerServer, n.Name)
}

// startRequest counts a request as in flight and determines its work and faults.
func (n *Node) startRequest(r *http.Request) *nodeRequest {
	request := &nodeRequest{node: n, class: r.Header.Get(headerClass)}
	proxy := r.Header.Get(headerProxy)
	request.id, _ = strconv.ParseUint(r.Header.Get(headerRequest), 10, 64)
	_, _ = io.Copy(io.Discard, r.Body)

	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBusy()
	work := n.capacity.Work[request.class]
	n.addSlowStartWork(work.Seconds()/(n.capacity.Speed*float64(n.capacity.Cores)), proxy)
	request.fault = n.activeFaults(request.class, proxy)
	request.resume = n.resume
	request.crashed = n.crashed
	request.slots = n.slots
	if n.overloaded {
		request.fault.Hang = true
	}
	request.injectedError = n.rng.Float64() < request.fault.Errors
	request.answerLost = n.rng.Float64() < request.fault.LostAnswers
	request.queueFull = n.inFlight >= n.capacity.Cores+n.capacity.Queue
	n.inFlight++
	seconds := float64(work) / n.capacity.Speed / n.capacityFraction() * request.fault.Slow
	request.work = time.Duration(seconds * (minWorkFactor + workJitter*n.rng.Float64()))
	return request
}

func (n *Node) endRequest() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inFlight--
}

// completeExecution counts an executed request, frees its core and writes the load header unless the answer is lost.
func (n *Node) completeExecution(w http.ResponseWriter, request *nodeRequest, duration time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateBusy()
	millis := duration.Milliseconds()
	n.serviceMillis = (1-serviceTimeSmoothing)*n.serviceMillis + serviceTimeSmoothing*float64(millis)
	n.counters.add(true, millis)
	<-request.slots
	if !request.answerLost {
		n.writeLoadHeader(w)
	}
}

// writeLoadHeader writes the load values in thousandths: busy fraction, requests in flight, recent service time in ms.
// The caller holds the lock.
func (n *Node) writeLoadHeader(w http.ResponseWriter) {
	w.Header().Set(headerLoad, fmt.Sprintf("%.0f,%d,%.0f",
		loadUnit*n.busyFraction, loadUnit*n.inFlight, loadUnit*n.serviceMillis))
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// hang blocks until the process dies, the caller disconnects or hangTimeout has passed, and then closes the connection
// without an answer.
func (r *nodeRequest) hang(request *http.Request) {
	select {
	case <-r.crashed:
	case <-request.Context().Done():
	case <-time.After(hangTimeout):
	}
	abort()
}

// waitForResume waits while the process is paused.
func (r *nodeRequest) waitForResume() {
	if !r.fault.Pause || r.resume == nil {
		return
	}
	select {
	case <-r.resume:
	case <-r.crashed:
		abort()
	}
}

// waitForSlot waits for a core. A request whose caller has disconnected by then is not executed.
func (r *nodeRequest) waitForSlot(request *http.Request) {
	select {
	case r.slots <- struct{}{}:
	case <-r.crashed:
		abort()
	}
	if request.Context().Err() != nil {
		<-r.slots
		abort()
	}
}

// execute blocks for the duration of the request's work, or until the process dies.
func (r *nodeRequest) execute() {
	timer := time.NewTimer(r.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.crashed:
	}
}
