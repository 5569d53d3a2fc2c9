package fakes

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cressknot/internal/haproxyapi"
)

// HTTP headers between callers, proxies and nodes.
const (
	headerClass       = "X-Class"
	headerRequest     = "X-Visit"
	headerProxy       = "X-Proxy"
	headerNode        = "X-Node"
	headerServer      = "X-Server"
	headerLoad        = "X-Load"
	headerNotExecuted = "X-Never-Ran"
)

// Retry modes, as values of the proxy's map of retry modes and admission limits.
const (
	retryNever         = 0
	retryIfNotExecuted = 1
	retryOnce          = 2
	retryTwice         = 3
)

// admissionUnit is the scale of admission limits: this value admits every request, 0 none.
const admissionUnit = 1000

// maxRetries returns how many retries a mode allows after attempts that may have been executed.
func maxRetries(mode int) int {
	switch mode {
	case retryOnce:
		return 1
	case retryTwice:
		return 2
	}
	return 0
}

func (e *proxyEntry) usable() bool { return e.weight > 0 && e.admin == 0 }

// reportUsability reports to the watch whether each class has a usable entry. The caller holds the lock.
func (p *Proxy) reportUsability() {
	for _, class := range p.Classes {
		usable := slices.ContainsFunc(p.backends[class.Backend], (*proxyEntry).usable)
		p.watch.ClassUsable(p.Name, class.Name, usable)
	}
}

// pick picks a random entry other than the excluded one by weight, or nil if there is none. Ejected entries are used
// only if there is no other. The caller holds the lock.
func (p *Proxy) pick(backend string, excluded *proxyEntry) *proxyEntry {
	now := time.Now()
	for _, allowEjected := range []bool{false, true} {
		eligible := func(entry *proxyEntry) bool {
			return entry.usable() && entry != excluded && (allowEjected || now.After(entry.ejectedUntil))
		}
		if entry := p.pickWeighted(p.backends[backend], eligible); entry != nil {
			return entry
		}
	}
	return nil
}

// pickWeighted picks a random eligible entry with a probability in proportion to its weight, nil if there is none.
func (p *Proxy) pickWeighted(entries []*proxyEntry, eligible func(*proxyEntry) bool) *proxyEntry {
	sum := 0
	for _, entry := range entries {
		if eligible(entry) {
			sum += entry.weight
		}
	}
	if sum == 0 {
		return nil
	}
	number := p.rng.IntN(sum)
	for _, entry := range entries {
		if !eligible(entry) {
			continue
		}
		number -= entry.weight
		if number < 0 {
			return entry
		}
	}
	return nil
}

// mapInt returns the value of a key of the proxy's map, or the default if there is none or it is not an integer.
func (p *Proxy) mapInt(key string, defaultValue int) int {
	number, err := strconv.Atoi(p.mapEntries[key])
	if err != nil {
		return defaultValue
	}
	return number
}

// serveRequest handles a request of a caller: 400 for an unknown class, 429 if the admission limit rejects it, 503
// without a usable entry, 502 if no attempt succeeded.
func (p *Proxy) serveRequest(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(headerClass)
	classIndex := slices.IndexFunc(p.Classes, func(c ProxyClass) bool { return c.Name == name })
	if classIndex < 0 {
		http.Error(w, "no such class", http.StatusBadRequest)
		return
	}
	request := proxyRequest{proxy: p, class: p.Classes[classIndex]}
	request.id, _ = strconv.ParseUint(r.Header.Get(headerRequest), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), request.class.Deadline)
	defer cancel()
	p.mu.Lock()
	wait := time.Until(p.stalledUntil)
	p.mu.Unlock()
	time.Sleep(wait)
	if !request.admit() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	request.run(ctx, w)
}

// proxyRequest is one request at a proxy.
type proxyRequest struct {
	proxy      *Proxy
	class      ProxyClass
	id         uint64
	retryMode  int
	mayHaveRun bool // an attempt may have been executed
}

// admit counts the request and reports whether the class's admission limit admits it. It also reads the retry mode.
func (r *proxyRequest) admit() bool {
	p := r.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	total := p.totals[r.class.Backend]
	total.Sessions++
	r.retryMode = p.mapInt(r.class.Name+".retry", retryNever)
	if p.rng.IntN(admissionUnit) >= p.mapInt(r.class.Name+".share", admissionUnit) {
		total.Denied++
		return false
	}
	return true
}

// run makes attempts until one succeeds or no retry is allowed, and answers the caller.
func (r *proxyRequest) run(ctx context.Context, w http.ResponseWriter) {
	var last *proxyEntry
	for number := 0; ; number++ {
		entry := r.startAttempt(last)
		if entry == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		outcome := r.attempt(ctx, entry, number)
		r.mayHaveRun = r.mayHaveRun || !outcome.Success && !outcome.NotExecuted
		last = entry
		if !outcome.Success && ctx.Err() == nil && r.mayRetry(number, outcome) {
			continue
		}
		r.countResult(outcome.Success)
		if outcome.Success {
			w.Header().Set(headerNode, entry.name)
			return
		}
		w.WriteHeader(http.StatusBadGateway)
		return
	}
}

// startAttempt picks the entry of an attempt and counts the attempt. It returns nil if there is no usable entry.
func (r *proxyRequest) startAttempt(excluded *proxyEntry) *proxyEntry {
	p := r.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.pick(r.class.Backend, excluded)
	if entry == nil {
		return nil
	}
	entry.inFlight++
	entry.stat.Sessions++
	entry.stat.CurrentSessions++
	return entry
}

// mayRetry reports whether the retry mode allows a retry after an attempt, whose number counts from 0.
func (r *proxyRequest) mayRetry(number int, outcome RequestOutcome) bool {
	if r.retryMode == retryIfNotExecuted {
		return number == 0 && outcome.NotExecuted
	}
	return r.retryMode >= retryOnce && number < r.retryMode-1
}

// attempt sends the request to a node. An attempt that may be retried whatever its outcome is limited by the class's
// AttemptTimeout, the last one only by the deadline.
func (r *proxyRequest) attempt(ctx context.Context, entry *proxyEntry, number int) RequestOutcome {
	if number < maxRetries(r.retryMode) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.class.AttemptTimeout)
		defer cancel()
	}
	return r.proxy.sendAttempt(ctx, entry, r, number)
}

func (r *proxyRequest) countResult(success bool) {
	p := r.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	total := p.totals[r.class.Backend]
	if success {
		total.Successes++
	} else {
		total.ServerErrors++
	}
}

// sendAttempt sends an attempt, counts its outcome and ejects the server at the ejection threshold.
func (p *Proxy) sendAttempt(ctx context.Context, entry *proxyEntry, r *proxyRequest, number int) RequestOutcome {
	p.watch.AttemptSent(p.Name, entry.name, r.class.Name, r.id, number, r.mayHaveRun)
	began := time.Now()
	outcome := SendRequest(ctx, &p.http, entry.addr, Request{Proxy: p.Name, Class: r.class.Name, ID: r.id})
	p.mu.Lock()
	defer p.mu.Unlock()
	entry.inFlight--
	entry.stat.CurrentSessions--
	if outcome.Success {
		entry.stat.Successes++
		entry.consecutiveFailures = 0
		p.track(entry.name, time.Since(began), outcome.Load)
		return outcome
	}
	switch {
	case outcome.Err == nil:
		entry.stat.ServerErrors++
	case outcome.NotExecuted:
		entry.stat.ConnectErrors++
	default:
		entry.stat.ResponseErrors++
	}
	entry.consecutiveFailures++
	if p.EjectionThreshold > 0 && entry.consecutiveFailures >= p.EjectionThreshold {
		entry.consecutiveFailures = 0
		entry.ejectedUntil = time.Now().Add(p.EjectionDuration)
	}
	return outcome
}

// track counts a successful answer of a server in the stick table and stores its load values. The caller holds the
// lock.
func (p *Proxy) track(server string, duration time.Duration, load []uint32) {
	tracked := p.tracked[server]
	if tracked == nil {
		tracked = &haproxyapi.StickEntry{Key: []byte(server)}
		p.tracked[server] = tracked
		p.trackedNames = append(p.trackedNames, server)
	}
	tracked.SuccessMillis += uint64(duration.Milliseconds())
	tracked.Successes++
	for i, value := range load {
		if i < len(tracked.Load) {
			tracked.Load[i] = uint64(value)
			tracked.HasLoad = true
		}
	}
}

// Request is a request to a node on behalf of a proxy.
type Request struct {
	Proxy string
	Class string
	ID    uint64
}

// RequestOutcome is the outcome of a request to a node.
type RequestOutcome struct {
	Success     bool
	NotExecuted bool     // the request certainly had no effect
	Load        []uint32 // load values of the node in thousandths; nil: none in the answer
	Err         error    // why there was no answer; nil: any answer, successful or not
}

// SendRequest sends one attempt of a request to the node at an address. The timeout is that of the context.
func SendRequest(ctx context.Context, client *http.Client, addr string, request Request) RequestOutcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/visit", nil)
	if err != nil {
		return RequestOutcome{NotExecuted: true, Err: err}
	}
	req.Header.Set(headerClass, request.Class)
	req.Header.Set(headerProxy, request.Proxy)
	req.Header.Set(headerRequest, strconv.FormatUint(request.ID, 10))
	res, err := client.Do(req)
	if err != nil {
		return RequestOutcome{NotExecuted: isDialError(err), Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return RequestOutcome{
		Success:     res.StatusCode == http.StatusOK,
		NotExecuted: res.Header.Get(headerNotExecuted) != "",
		Load:        parseLoad(res.Header.Get(headerLoad)),
	}
}

// parseLoad parses load values separated by commas. Invalid ones are skipped.
func parseLoad(text string) []uint32 {
	var load []uint32
	for _, field := range strings.Split(text, ",") {
		value, err := strconv.ParseUint(field, 10, 32)
		if err == nil {
			load = append(load, uint32(value))
		}
	}
	return load
}

// isDialError reports whether connecting failed, so that the request was never sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
