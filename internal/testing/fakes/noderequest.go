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
	// minWorkFactor and workJitter spread the work of requests.
	minWorkFactor = 0.7
	workJitter    = 0.6
	// serviceTimeSmoothing is the weight of the newest service time.
	serviceTimeSmoothing = 0.1
	// loadUnit is the value of 1 in load values.
	loadUnit = 1000
)

// nodeRequest is one request at a node.
type nodeRequest struct {
	node          *Node
	class         string
	id            uint64
	fault         Fault
	injectedError bool // by the fault
	answerLost    bool // its answer, by the fault
	queueFull     bool // no room in the queue
	work          time.Duration
	resume        chan struct{} // closed when a pause ends
	crashed       chan struct{} // closed when the process dies
	slots         chan struct{}
}

// serve handles a health check or a request.
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

// begin counts a request in and decides how it goes.
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

// finish counts an executed request and frees its slot.
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
func (n *Node) writeLoadHeader(w http.ResponseWriter) {
	w.Header().Set(headerLoad, fmt.Sprintf("%.0f,%d,%.0f",
		loadUnit*n.busyFraction, loadUnit*n.inFlight, loadUnit*n.serviceMillis))
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// hang closes the connection without an answer when the process dies, the caller leaves or the timeout ends.
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

// waitForSlot waits for a core. A request whose caller has left by then is not begun.
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

// execute works until the work is done or the process dies.
func (r *nodeRequest) execute() {
	timer := time.NewTimer(r.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.crashed:
	}
}
