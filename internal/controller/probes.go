package controller

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
)

const (
	maxProbeBody = 1 << 12  // bytes read from a probe's response
	loadUnit     = 1000     // loads are in thousandths, as proxies hold integers
	loadHeader   = "X-Load" // of a probe's response: loads, separated by commas
	serverHeader = "X-Server"
)

// The verification modes for servers of a cached list, as written in the settings. Any other value means
// VerifyByConnection.
const (
	VerifyByConnection = "connect"
	VerifyByProbe      = "probe"
	VerifyByOutcomes   = "answers" // by the outcomes of proxies' requests, without contacting servers
)

// prober probes and verifies servers over the network. Each call takes at most reconcile.ProbeTimeout.
type prober struct {
	names            *ServerNames
	path             string // of the probe URL
	verificationMode string
}

// get sends a probe request to a server and returns the response with its body closed.
func (p *prober) get(ctx context.Context, addr string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+p.path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxProbeBody) // so that the connection can be reused
	_ = response.Body.Close()
	return response, nil
}

// probe requests a server's health and load. Failures are outcomes of the result.
func (p *prober) probe(ctx context.Context, id fleet.ServerID) ProbeResult {
	_, addr := p.names.Lookup(id)
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(reconcile.ProbeTimeout))
	defer cancel()
	result := ProbeResult{Server: id}
	response, err := p.get(ctx, addr)
	switch {
	case err != nil && ctx.Err() != nil:
		result.Outcome = fleet.ProbeTimedOut
	case err != nil:
		result.Outcome = fleet.ProbeUnreachable
	case response.StatusCode == http.StatusOK:
		result.Outcome = fleet.ProbeAnswered
		result.Load = parseLoad(response.Header.Get(loadHeader))
	case response.StatusCode == http.StatusServiceUnavailable:
		result.Outcome = fleet.ProbeRejected
	default:
		result.Outcome = fleet.ProbeFailed
	}
	result.Duration = fleet.Time(time.Since(startedAt))
	return result
}

// verify checks that a server of a cached list exists: by a TCP connection, or by a probe whose response may contain
// the name of the server that sent it.
func (p *prober) verify(ctx context.Context, id fleet.ServerID) VerificationResult {
	name, addr := p.names.Lookup(id)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(reconcile.ProbeTimeout))
	defer cancel()
	result := VerificationResult{Server: id}
	if p.verificationMode != VerifyByProbe {
		var dialer net.Dialer
		if conn, err := dialer.DialContext(ctx, "tcp", addr); err == nil {
			_ = conn.Close()
			result.Evidence = verification.EvidenceConnection
		}
		return result
	}
	response, err := p.get(ctx, addr)
	if err != nil {
		return result
	}
	switch response.Header.Get(serverHeader) {
	case name:
		result.Evidence = verification.EvidenceConfirmed
	case "":
		result.Evidence = verification.EvidenceConnection
	default:
		result.Evidence = verification.EvidenceOtherServer
	}
	return result
}

// parseLoad parses loads up to the first that is not a number.
func parseLoad(text string) (load []float32) {
	for _, field := range strings.Split(text, ",") {
		thousandths, err := strconv.ParseUint(field, 10, 32)
		if err != nil {
			break
		}
		load = append(load, float32(thousandths)/loadUnit)
	}
	return load
}
