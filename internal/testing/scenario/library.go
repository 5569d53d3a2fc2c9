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

// library is a program that sends its visits itself, by one of the client libraries; to the rules it is a proxy.
type library struct {
	name, zone, over string
	client           *client.Client
	http             http.Client
	follows          atomic.Int64
	without          atomic.Int64 // ns
	lost             atomic.Int64 // since when no governor is followed, ns since the day began; 0: one is
}

// LibraryRow is how a program with a library fared.
type LibraryRow struct {
	Name    string  `json:"name"`
	Over    string  `json:"over"`
	Visits  uint64  `json:"visits"`
	Tries   uint64  `json:"tries"`
	Denied  uint64  `json:"denied"`
	Follows int64   `json:"follows"`
	Without float64 `json:"without_s"`
}

// programs starts the programs with libraries, and their visits.
func (p *play) programs(ctx context.Context) error {
	for i := range p.Day.Libraries {
		zone := i % len(p.Day.Zones)
		g := p.governors[zone%p.Day.Governors]
		l := &library{name: fmt.Sprintf("lib-%02d", i+1), zone: p.Day.Zones[zone], over: []string{"gRPC", "text"}[i%2]}
		l.http.Transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 15 * time.Second, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: 400 * time.Millisecond}).DialContext}
		p.watch.Owner(l.name, g.name)
		cfg := client.Config{Name: l.name, Zone: l.zone, Governors: []string{[]string{g.rpc, g.text}[i%2]}, Seed: p.Day.Seed + uint64(i), Hedge: true,
			OnTable: func(_ tableversion.Version, lines int) { p.watch.Message(l.name, lines) },
			OnWatch: func(up bool, _ string) {
				at := int64(time.Since(p.started))
				if up {
					p.watch.Joined(l.name)
					l.follows.Add(1)
					if since := l.lost.Swap(0); since > 0 {
						l.without.Add(at - since)
					}
				} else {
					p.watch.Parted(l.name)
					l.lost.Store(at)
				}
			}}
		var err error
		if l.client, err = []func(client.Config) (*client.Client, error){rpc.New, runtime.New}[i%2](cfg); err != nil {
			return err
		}
		p.libraries = append(p.libraries, l)
		p.background.Add(2)
		go p.look(ctx, l)
		go p.visits(ctx, l, uint64(i))
	}
	return nil
}

// look tells the rules whether a program has a line for each class.
func (p *play) look(ctx context.Context, l *library) {
	defer p.background.Done()
	for sleep(ctx, 2*lookEvery) {
		for _, c := range p.Day.Classes {
			p.watch.Lines(l.name, c.Name, len(l.client.Endpoints(c.Name)) > 0)
		}
	}
}

// visits lets visits come to a program at chance moments.
func (p *play) visits(ctx context.Context, l *library, n uint64) {
	defer p.background.Done()
	if l.client.Ready(ctx) != nil {
		return
	}
	rng := rand.New(rand.NewPCG(p.Day.Seed, 300+n))
	shares := 0.0
	for _, c := range p.Day.Classes {
		shares += c.Share
	}
	each := p.Day.Visits / float64(p.Day.Proxies+p.Day.Libraries)
	for next := time.Now(); ; {
		rate := each * math.Float64frombits(p.burst.Load())
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if !sleep(ctx, time.Until(next)) {
			return
		}
		p.background.Add(1)
		go p.visit(ctx, l, p.drawClass(rng, shares), p.ids.Add(1))
	}
}

func (p *play) visit(ctx context.Context, l *library, class int, id uint64) {
	defer p.background.Done()
	c := p.Day.Classes[class]
	at, err := l.client.Class(c.Name)
	if err != nil {
		return
	}
	began := time.Now()
	err = l.client.Do(context.WithoutCancel(ctx), at, func(ctx context.Context, t client.Attempt) client.Result {
		p.watch.Sent(l.name, t.Server.Name, c.Name, id, t.Number, t.MayHaveRun)
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

// leave ends the programs.
func (p *play) leave() {
	for _, l := range p.libraries {
		counts := l.client.Counts()
		p.report.Libraries = append(p.report.Libraries, LibraryRow{l.name, l.over, counts.Requests, counts.Attempts, counts.DeniedRetries, l.follows.Load(), time.Duration(l.without.Load()).Seconds()})
		_ = l.client.Close()
		l.http.CloseIdleConnections()
	}
	p.libraries = nil
}
