package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cressknot/client"
	"cressknot/client/rpc"
	"cressknot/client/runtime"
	"cressknot/internal/tableversion"
	"cressknot/internal/testing/fakes"
)

const (
	// programIdleConnections (per server), programIdleTimeout and programDialTimeout configure connections to servers.
	programIdleConnections = 64
	programIdleTimeout     = 15 * time.Second
	programDialTimeout     = 400 * time.Millisecond
)

// clientProgram is a program that sends its requests to servers with the client library instead of through a proxy. The
// invariants treat it as a proxy.
type clientProgram struct {
	name     string
	zone     string
	protocol string
	client   *client.Client
	http     http.Client

	watches        atomic.Int64 // number of watches that were started
	unwatched      atomic.Int64 // nanoseconds without a watch, in total
	unwatchedSince atomic.Int64 // when the watch was lost, in nanoseconds since the scenario's start; 0: it is open
}

// ClientProgramResult counts the requests, attempts and watches of a client program.
type ClientProgramResult struct {
	Name             string  `json:"name"`
	Protocol         string  `json:"over"`
	Requests         uint64  `json:"visits"`
	Attempts         uint64  `json:"tries"`
	Denied           uint64  `json:"denied"` // retries and hedged requests that the library's budget did not allow
	Watches          int64   `json:"follows"`
	UnwatchedSeconds float64 `json:"without_s"` // total time without a watch
}

// startClientPrograms starts the client programs, alternately over gRPC and the text protocol, and their requests.
func (r *runner) startClientPrograms(ctx context.Context) error {
	for i := range r.Spec.ClientPrograms {
		program, err := r.newClientProgram(i) //nolint:contextcheck // a client lives until Close, not for a context
		if err != nil {
			return err
		}
		r.clientPrograms = append(r.clientPrograms, program)
		r.runInBackground(func() { r.watchEndpoints(ctx, program) })
		r.runInBackground(func() { r.sendRequests(ctx, program, uint64(i)) })
	}
	return nil
}

func (r *runner) newClientProgram(index int) (*clientProgram, error) {
	zone := index % len(r.Spec.Zones)
	controller := r.controllers[zone%r.Spec.Controllers]
	program := &clientProgram{name: fmt.Sprintf("lib-%02d", index+1), zone: r.Spec.Zones[zone]}
	program.http.Transport = &http.Transport{
		MaxIdleConnsPerHost: programIdleConnections,
		IdleConnTimeout:     programIdleTimeout,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: programDialTimeout}).DialContext,
	}
	r.watch.Owner(program.name, controller.name)
	config := client.Config{
		Name:    program.name,
		Zone:    program.zone,
		Seed:    r.Spec.Seed + uint64(index),
		Hedge:   true,
		OnTable: func(_ tableversion.Version, endpoints int) { r.watch.Message(program.name, endpoints) },
		OnWatch: func(up bool, _ string) { r.watchChanged(program, up) },
	}
	var err error
	if index%2 == 0 {
		program.protocol = "gRPC"
		config.Controllers = []string{controller.rpc}
		program.client, err = rpc.New(config)
	} else {
		program.protocol = "text"
		config.Controllers = []string{controller.text}
		program.client, err = runtime.New(config)
	}
	return program, err
}

// watchChanged records that a program's watch was opened or lost.
func (r *runner) watchChanged(program *clientProgram, up bool) {
	at := int64(time.Since(r.started))
	if !up {
		r.watch.Disconnected(program.name)
		program.unwatchedSince.Store(at)
		return
	}
	r.watch.Connected(program.name)
	program.watches.Add(1)
	if since := program.unwatchedSince.Swap(0); since > 0 {
		program.unwatched.Add(at - since)
	}
}

// watchEndpoints records periodically whether a program has an endpoint for each class, for the availability invariant.
func (r *runner) watchEndpoints(ctx context.Context, program *clientProgram) {
	for sleep(ctx, 2*checkInterval) {
		for _, class := range r.Spec.Classes {
			r.watch.ClassUsable(program.name, class.Name, len(program.client.Endpoints(class.Name)) > 0)
		}
	}
}

// sendRequests sends a program's requests as a Poisson process, once it has received endpoints.
func (r *runner) sendRequests(ctx context.Context, program *clientProgram, index uint64) {
	if program.client.Ready(ctx) != nil {
		return
	}
	rng := rand.New(rand.NewPCG(r.Spec.Seed, programRandomStream+index))
	rate := func() float64 { return r.meanRate() * loadFloat(&r.rateFactor) }
	poissonArrivals(ctx, rng, rate, func() {
		class := r.drawClass(rng)
		id := r.requestIDs.Add(1)
		r.runInBackground(func() { r.sendRequest(ctx, program, class, id) })
	})
}

// sendRequest sends one request with its retries and counts its outcome. A request in flight at the end of the scenario
// is not canceled.
func (r *runner) sendRequest(ctx context.Context, program *clientProgram, class int, id uint64) {
	spec := r.Spec.Classes[class]
	position, err := program.client.Class(spec.Name)
	if err != nil {
		return
	}
	request := fakes.Request{Proxy: program.name, Class: spec.Name, ID: id}
	began := time.Now()
	send := func(ctx context.Context, attempt client.Attempt) client.Result {
		r.watch.AttemptSent(program.name, attempt.Server.Name, spec.Name, id, attempt.Number, attempt.MayHaveRun)
		return clientResult(fakes.SendRequest(ctx, &program.http, attempt.Server.Addr, request))
	}
	err = program.client.Do(context.WithoutCancel(ctx), position, send)
	status := http.StatusOK
	switch {
	case errors.Is(err, client.ErrRejected):
		status = http.StatusTooManyRequests
	case err != nil:
		status = http.StatusBadGateway
	}
	r.tally.count(class, status, time.Since(began), time.Duration(spec.Expected))
}

// clientResult converts the outcome of a simulated request to the client library's result.
func clientResult(outcome fakes.RequestOutcome) client.Result {
	result := client.Result{Outcome: client.Failed, Load: outcome.Load, Err: outcome.Err}
	switch {
	case outcome.Success:
		result.Outcome = client.Success
	case outcome.NotExecuted:
		result.Outcome = client.NotExecuted
	}
	return result
}

// closeClientPrograms closes the programs and adds their results to the report.
func (r *runner) closeClientPrograms() {
	for _, program := range r.clientPrograms {
		counts := program.client.Counts()
		r.report.ClientPrograms = append(r.report.ClientPrograms, ClientProgramResult{
			Name:             program.name,
			Protocol:         program.protocol,
			Requests:         counts.Requests,
			Attempts:         counts.Attempts,
			Denied:           counts.DeniedRetries,
			Watches:          program.watches.Load(),
			UnwatchedSeconds: time.Duration(program.unwatched.Load()).Seconds(),
		})
		_ = program.client.Close()
		program.http.CloseIdleConnections()
	}
	r.clientPrograms = nil
}
