//go:build !race

// The race detector's runtime can fail a check of its own in these tests, which have hundreds of goroutines: "CHECK
// failed: tsan_rtl.cpp". So they run without it, see .ci/run.

package discovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/clock"
	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/platform"
	"cressknot/internal/testing/sites"
	"cressknot/internal/transport/relay"
)

const (
	// notifiedWithin is the time after which the platform's protocol takes a change as known to a controller.
	notifiedWithin = 6 * time.Second
	// relayAnswerTime is the time in which the relay answers a call, by the platform's protocol.
	relayAnswerTime = 50 * time.Millisecond

	serverCount = 16
	playedFor   = 14 * time.Second // after the start of the cut
)

// outageSite is a site with the channel of the platform's first deployment.
func outageSite(drainTimeout time.Duration) fleet.Site {
	site := sites.Platform()
	site.MeanUpdateDelay = 193 * fleet.Millisecond
	site.MaxUpdateDelay = 480 * fleet.Millisecond
	site.DrainTimeout = fleet.Time(drainTimeout)
	return site
}

// withdrawalRecorder is a relay that records when drainingServer is withdrawn.
type withdrawalRecorder struct {
	mu          sync.Mutex
	withdrawnAt time.Time
}

func (r *withdrawalRecorder) Enqueue(operations []relay.Operation) {
	for _, operation := range operations {
		order, ok := operation.Order.(fleet.WithdrawServer)
		if !ok || !order.Withdrawn || operation.Server != drainingServer {
			continue
		}
		r.mu.Lock()
		if r.withdrawnAt.IsZero() {
			r.withdrawnAt = time.Now()
		}
		r.mu.Unlock()
	}
}

func (r *withdrawalRecorder) DropAssignments(fleet.ProxyID) {}

// outageKind is the way in which discovery fails.
type outageKind int

const (
	cutSilent     outageKind = iota // the network is cut: connections are silent, new ones never come up
	cutReset                        // the same, but new ones are reset as the cut ends
	serverDown                      // connections are reset, new ones are refused
	callsRejected                   // watches end, calls are answered with status 503
	outageKinds
)

func (k outageKind) String() string {
	return [...]string{"silent cut", "cut with resets", "server down", "calls rejected"}[k]
}

// outagePlay is one outage of discovery, as a server starts to drain.
type outagePlay struct {
	kind        outageKind
	site        fleet.Site
	controllers int
	seed        uint64
	startSpread time.Duration // controllers start within this time
	beginsAt    time.Duration // since the start of the first controller
	lasts       time.Duration
	drainAfter  time.Duration // since the start of the outage
	callTime    time.Duration
}

func (o *outagePlay) begin(network *fakeNetwork, service *fakeService) {
	switch o.kind {
	case cutSilent, cutReset:
		network.resetsDials = o.kind == cutReset
		network.cut()
	case serverDown:
		network.setDown(true)
	case callsRejected:
		service.beginOutage()
	}
}

func (o *outagePlay) end(network *fakeNetwork, service *fakeService) {
	switch o.kind {
	case cutSilent, cutReset:
		network.heal()
	case serverDown:
		network.setDown(false)
	case callsRejected:
		service.endOutage()
	}
}

// outageResult says when each controller withdrew the server, and which calls discovery has got.
type outageResult struct {
	withdrawnAfter []time.Duration // since the drain; negative: never
	callsDuring    []time.Duration // since the start of the outage
	callsAfter     []time.Duration // since its end
	rejected       int             // calls that would have waited too long
}

// play runs controllers with their real loop, balancer and source on the time of a bubble.
func (o outagePlay) play(t *testing.T) (result outageResult) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { result = o.playInBubble() })
	return result
}

func (o outagePlay) playInBubble() outageResult {
	network := newFakeNetwork()
	service := newFakeService(o.callTime)
	server := http.Server{Handler: service}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(network)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	random := rand.New(rand.NewPCG(o.seed, 0))
	recorders := make([]*withdrawalRecorder, o.controllers)
	for i := range recorders {
		recorders[i] = &withdrawalRecorder{}
		startAfter := time.Duration(random.Float64() * float64(o.startSpread))
		seed := random.Uint64()
		running.Go(func() { runController(ctx, o.site, seed, startAfter, network, recorders[i]) })
	}

	time.Sleep(o.beginsAt)
	beganAt := time.Now()
	o.begin(network, service)
	time.Sleep(o.drainAfter)
	drainedAt := time.Now()
	service.drain()
	time.Sleep(o.lasts - o.drainAfter)
	endedAt := time.Now()
	o.end(network, service)
	time.Sleep(playedFor - o.lasts)

	cancel()
	_ = server.Close()
	running.Wait()
	<-served
	return collectResult(service, recorders, drainedAt, beganAt, endedAt)
}

func collectResult(
	service *fakeService, recorders []*withdrawalRecorder, drainedAt, beganAt, endedAt time.Time,
) (result outageResult) {
	for _, recorder := range recorders {
		after := time.Duration(-1)
		if !recorder.withdrawnAt.IsZero() {
			after = recorder.withdrawnAt.Sub(drainedAt)
		}
		result.withdrawnAfter = append(result.withdrawnAfter, after)
	}
	for _, at := range service.callsSince(beganAt) {
		if at.Before(endedAt) {
			result.callsDuring = append(result.callsDuring, at.Sub(beganAt))
		} else {
			result.callsAfter = append(result.callsAfter, at.Sub(endedAt))
		}
	}
	result.rejected = service.rejectedCalls()
	return result
}

// runController runs a controller without proxies until the context ends.
func runController(
	ctx context.Context, site fleet.Site, seed uint64, startAfter time.Duration, network *fakeNetwork,
	recorder *withdrawalRecorder,
) {
	time.Sleep(startAfter)
	source := &discovery.PlatformSource{
		Addr:     "discovery:1",
		Revision: initialRevision,
		Zones:    site.Zones,
		Kinds:    site.Kinds,
	}
	source.SetDial(func(ctx context.Context, name, addr string) (net.Conn, error) { return network.dial(ctx, name, addr) })
	mailbox := platform.NewMailbox()
	_ = source.Start(ctx, func(update discovery.Update) { // always succeeds
		mailbox.Post(platform.EndpointsChanged{Update: update})
	})
	known := discovery.EndpointList{Revision: initialRevision}
	for i := range serverCount {
		known.Endpoints = append(known.Endpoints, discovery.Endpoint{Name: fmt.Sprintf("s-%d", i), Zone: "a", Kind: "m"})
	}
	platform.Run(ctx, platform.Options{
		Controller:      platform.NewController(site, seed, known),
		Mailbox:         mailbox,
		Relay:           recorder,
		Endpoints:       source,
		Clock:           clock.New(),
		MinStepInterval: 4 * fleet.Millisecond,
		Log:             zerolog.Nop(),
	})
}
