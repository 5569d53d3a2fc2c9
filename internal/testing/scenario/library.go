package scenario

import (
	"context"
	"errors"
	"fmt"
	"math"
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

// clientProgram is a program that sends its visits itself, by one of the client libraries; to the rules it is a proxy.
type clientProgram struct {
	name, zone, over string
	client           *client.Client
	http             http.Client
	watches          atomic.Int64
	unwatched          atomic.Int64 // ns
	unwatchedSince             atomic.Int64 // since when no governor is followed, ns since the day began; 0: one is
}

// ClientProgramRow is how a program with a library fared.
type ClientProgramRow struct {
	Name    string  `json:"name"`
	Protocol    string  `json:"over"`
	Requests  uint64  `json:"visits"`
	Attempts   uint64  `json:"tries"`
	Denied  uint64  `json:"denied"`
	Watches int64   `json:"follows"`
	UnwatchedSeconds float64 `json:"without_s"`
}

// startClientPrograms starts the programs with libraries, and their visits.
func (p *runner) startClientPrograms(ctx context.Context) error {
	for i := range p.Spec.ClientPrograms {
		zone := i % len(p.Spec.Zones)
		g := p.controllers[zone%p.Spec.Controllers]
		l := &clientProgram{name: fmt.Sprintf("lib-%02d", i+1), zone: p.Spec.Zones[zone], over: []string{"gRPC", "text"}[i%2]}
		l.http.Transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 15 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext}
		p.watch.Owner(l.name, g.name)
		cfg := client.Config{Name: l.name, Zone: l.zone, Governors: []string{[]string{g.rpc, g.text}[i%2]}, Seed: p.Spec.Seed + uint64(i), Hedge: true,
			OnTable: func(_ tableversion.Version, lines int) { p.watch.Message(l.name, lines) },
			OnWatch: func(up bool, _ string) {
				at := int64(time.Since(p.started))
				if up {
					p.watch.Connected(l.name)
					l.watches.Add(1)
					if since := l.unwatchedSince.Swap(0); since > 0 {
						l.unwatched.Add(at - since)
					}
				} else {
					p.watch.Disconnected(l.name)
					l.unwatchedSince.Store(at)
				}
			}}
		var err error
		if l.client, err = []func(client.Config) (*client.Client, error){rpc.New, runtime.New}[i%2](cfg); err != nil {
			return err
		}
		p.clientPrograms = append(p.clientPrograms, l)
		p.background.Add(2)
		go p.watchEndpoints(ctx, l)
		go p.sendRequests(ctx, l, uint64(i))
	}
	return nil
}

// watchEndpoints tells the rules whether a program has a line for each class.
func (p *runner) watchEndpoints(ctx context.Context, l *clientProgram) {
	defer p.background.Done()
	for sleep(ctx, 2*checkInterval) {
		for _, c := range p.Spec.Classes {
			p.watch.ClassUsable(l.name, c.Name, len(l.client.Endpoints(c.Name)) > 0)
		}
	}
}

// sendRequests lets visits come to a program at chance moments.
func (p *runner) sendRequests(ctx context.Context, l *clientProgram, n uint64) {
	defer p.background.Done()
	if l.client.Ready(ctx) != nil {
		return
	}
	rng := rand.New(rand.NewPCG(p.Spec.Seed, 300+n))
	shares := 0.0
	for _, c := range p.Spec.Classes {
		shares += c.Share
	}
	each := p.Spec.RequestRate / float64(p.Spec.Proxies+p.Spec.ClientPrograms)
	for next := time.Now(); ; {
		rate := each * math.Float64frombits(p.rateFactor.Load())
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !sleep(ctx, time.Until(next)) {
			return
		}
		p.background.Add(1)
		go p.sendRequest(ctx, l, p.drawClass(rng, shares), p.requestIDs.Add(1))
	}
}

func (p *runner) sendRequest(ctx context.Context, l *clientProgram, class int, id uint64) {
	defer p.background.Done()
	c := p.Spec.Classes[class]
	at, err := l.client.Class(c.Name)
	if err != nil {
		return
	}
	began := time.Now()
	err = l.client.Do(context.WithoutCancel(ctx), at, func(ctx context.Context, t client.Attempt) client.Result {
		p.watch.AttemptSent(l.name, t.Server.Name, c.Name, id, t.Number, t.MayHaveRun)
		outcome := fakes.SendRequest(ctx, &l.http, t.Server.Addr, fakes.Request{Proxy: l.name, Class: c.Name, ID: id})
		r := client.Result{Outcome: client.Failed, Load: outcome.Load, Err: outcome.Err}
		switch {
		case outcome.Success:
			r.Outcome = client.Success
		case outcome.NotExecuted:
			r.Outcome = client.NotExecuted
		}
		return r
	})
	status := http.StatusOK
	switch {
	case errors.Is(err, client.ErrRejected):
		status = http.StatusTooManyRequests
	case err != nil:
		status = http.StatusBadGateway
	}
	p.tally.count(class, status, time.Since(began), time.Duration(c.Expected), time.Since(p.started))
}

// closeClientPrograms ends the programs.
func (p *runner) closeClientPrograms() {
	for _, l := range p.clientPrograms {
		counts := l.client.Counts()
		p.report.ClientPrograms = append(p.report.ClientPrograms, ClientProgramRow{l.name, l.over, counts.Requests, counts.Attempts, counts.DeniedRetries, l.watches.Load(), time.Duration(l.unwatched.Load()).Seconds()})
		_ = l.client.Close()
		l.http.CloseIdleConnections()
	}
	p.clientPrograms = nil
}
