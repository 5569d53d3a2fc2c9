package scenario

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// callTimeout bounds each HTTP request to a simulated proxy.
	callTimeout = 60 * time.Second
	// callerIdleConnections (per proxy) and callerIdleTimeout bound the idle connections to proxies.
	callerIdleConnections = 256
	callerIdleTimeout     = 10 * time.Second
	// callerRandomStream and programRandomStream are the first random number streams of the callers and the client
	// programs. Different streams are independent although they use the scenario's seed.
	callerRandomStream  = 100
	programRandomStream = 300
	// minCallerFactor and callerSpread define the range of the callers' rates per proxy, relative to the mean rate.
	minCallerFactor = 0.4
	callerSpread    = 1.2
	// weightSampleCount is the number of weight samples in a scenario. The first is taken after half an interval.
	weightSampleCount = 10
	// progressInterval is the interval between progress lines.
	progressInterval = time.Second
)

// meanRate returns the mean request rate per proxy or client program, in requests per second.
func (r *runner) meanRate() float64 {
	return r.Spec.RequestRate / float64(r.Spec.Proxies+r.Spec.ClientPrograms)
}

// loadFloat reads a float64 that is stored as its bits.
func loadFloat(bits interface{ Load() uint64 }) float64 { return math.Float64frombits(bits.Load()) }

// poissonArrivals calls handle at the times of a Poisson process with the current rate per second until the context
// ends. Delays in handling don't reduce the rate: late arrivals follow without a pause.
func poissonArrivals(ctx context.Context, rng *rand.Rand, rate func() float64, handle func()) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate() * float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		if delay := time.Until(next); delay > 0 && !sleep(ctx, delay) {
			return
		}
		handle()
	}
}

// startCallers sends requests to each proxy as a Poisson process.
func (r *runner) startCallers(ctx context.Context) {
	client := &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: callerIdleConnections,
			IdleConnTimeout:     callerIdleTimeout,
		},
	}
	for i := range r.proxies {
		rng := rand.New(rand.NewPCG(r.Spec.Seed, callerRandomStream+uint64(i)))
		factor := minCallerFactor + callerSpread*rng.Float64()
		rate := func() float64 {
			rate := r.meanRate() * factor * loadFloat(&r.rateFactor)
			if r.hotProxy.Load() == int64(i) {
				rate += r.Spec.RequestRate * loadFloat(&r.hotFactor)
			}
			return rate
		}
		r.runInBackground(func() {
			poissonArrivals(ctx, rng, rate, func() {
				class := r.drawClass(rng)
				id := r.requestIDs.Add(1)
				r.runInBackground(func() { r.call(ctx, client, i, class, id) })
			})
		})
	}
}

// drawClass draws the index of a class with a probability proportional to its share of the requests.
func (r *runner) drawClass(rng *rand.Rand) int {
	sum := 0.0
	for _, class := range r.Spec.Classes {
		sum += class.Share
	}
	draw := rng.Float64() * sum
	last := len(r.Spec.Classes) - 1
	for i, class := range r.Spec.Classes {
		draw -= class.Share
		if draw <= 0 {
			return i
		}
	}
	return last
}

// call sends a request to a proxy and counts its outcome. A request in flight at the end of the scenario is not
// canceled; it ends at the class's hard stop at the latest.
func (r *runner) call(ctx context.Context, client *http.Client, proxy, class int, id uint64) {
	spec := r.Spec.Classes[class]
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(spec.HardStop))
	defer cancel()
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.proxies[proxy].RequestAddr+"/", nil)
	if err != nil {
		return
	}
	req.Header.Set("X-Class", spec.Name)
	req.Header.Set("X-Visit", strconv.FormatUint(id, 10))
	status := 0
	res, err := client.Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		status = res.StatusCode
	}
	r.tally.count(class, status, time.Since(began), time.Duration(spec.Expected))
}

// startSampling starts to sample the weights periodically and to print progress.
func (r *runner) startSampling(ctx context.Context) {
	r.runInBackground(func() {
		length := time.Duration(r.Spec.Length)
		next := length / weightSampleCount / 2
		for sleep(ctx, progressInterval) {
			at := time.Since(r.started)
			if r.Progress != nil {
				_, _ = fmt.Fprintf(r.Progress, "\r%4.0f s of %.0f s  %s", at.Seconds(), length.Seconds(), r.tally.summary())
			}
			if at >= next {
				next += length / weightSampleCount
				r.sampleWeights(at)
			}
		}
	})
}

// sampleWeights adds the mean weights of the first class over all proxies to the report.
func (r *runner) sampleWeights(at time.Duration) {
	row := WeightSample{At: at.Seconds(), Share: map[string]float64{}}
	for _, proxy := range r.proxies {
		for name, part := range proxy.Weights(r.firstClass()) {
			row.Share[name] += part * float64(len(r.nodes)) / float64(len(r.proxies))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Weights = append(r.report.Weights, row)
}
