package fakes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// sums are what a node counts of itself since its start.
type sums struct{ tries, failed, good, goodMs int64 }

func (n *Node) count(good bool, ms int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sums.tries++; good {
		n.sums.good, n.sums.goodMs = n.sums.good+1, n.sums.goodMs+ms
	} else {
		n.sums.failed++
	}
}

// Mute stops a node's reports, or lets them go on; it serves all the while.
func (n *Node) Mute(mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute = mute
}

var reportClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// Report lets a node push what it counts to governors once a second, as long as it is up and not mute.
func (n *Node) Report(ctx context.Context, urls []string) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.mu.Lock()
		n.smooth()
		s, up := n.sums, n.server != nil && !n.mute && !n.pausedNow()
		line := fmt.Sprintf("server,name=%s started=%di,tries=%di,failed=%di,good=%di,good_ms=%di,busy=%.3f,held=%di,service=%.1f %d\n", n.Name,
			n.begun.UnixNano(), s.tries, s.failed, s.good, s.goodMs, n.busy, n.held, n.service, time.Now().UnixNano())
		n.mu.Unlock()
		for _, url := range urls {
			if up {
				_, _ = post(ctx, url, []byte(line))
			}
		}
	}
}

func (n *Node) pausedNow() bool { return n.resume != nil || n.fallen }

func post(ctx context.Context, url string, body []byte) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := reportClient.Do(req)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Body.Close()
}

// Flood is a crowd of reporters that nobody asked for: one name sends half of all, some lie, some are broken, some name
// servers that are not there, some connect anew for each batch.
type Flood struct{ Sent, Refused, Failed atomic.Int64 }

// Run sends so many lines a second to a governor until the context ends. Names are of real servers.
func (f *Flood) Run(ctx context.Context, url string, names []string, perS int, seed uint64) {
	const batch, senders = 200, 8
	for w := range senders {
		go func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			every := time.Second * batch * senders / time.Duration(perS)
			tick := time.NewTicker(every)
			defer tick.Stop()
			var body bytes.Buffer
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				body.Reset()
				for range batch {
					name, tries := names[0], int64(rng.Uint32())
					switch rng.IntN(6) {
					case 0:
						name = fmt.Sprintf("nobody-%d", rng.IntN(5000))
					case 1:
						name = names[rng.IntN(len(names))]
						tries = rng.Int64() // makes no sense: not to be believed
					case 2:
						name = names[rng.IntN(len(names))]
					}
					fmt.Fprintf(&body, "server,name=%s tries=%di,failed=%di,busy=%.2f %d\n", name, tries, rng.Int64N(1+tries), rng.Float64()*3,
						time.Now().Add(-time.Duration(rng.IntN(60))*time.Second).UnixNano())
				}
				if rng.IntN(20) == 0 {
					body.WriteString("server,name= broken")
				}
				if rng.IntN(4) == 0 {
					reportClient.CloseIdleConnections()
				}
				switch status, err := post(ctx, url, body.Bytes()); {
				case err != nil:
					f.Failed.Add(1)
				case status >= 300:
					f.Refused.Add(batch)
				default:
					f.Sent.Add(batch)
				}
			}
		}()
	}
}
