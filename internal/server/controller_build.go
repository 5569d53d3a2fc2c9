package server

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/balancer"
	"cressknot/internal/config"
	"cressknot/internal/controller"
	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/lease"
	"cressknot/internal/netlimit"
	"cressknot/internal/transport"
	"cressknot/internal/transport/files"
	"cressknot/internal/transport/haproxy"
)

// setLogLevel sets the global log level, which the schema has validated.
func setLogLevel(s *config.Settings) {
	if level, err := zerolog.ParseLevel(s.Log.Level); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}

// openLog opens the log that the settings name: a file, or standard error if none is set.
func openLog(s *config.Settings) (log zerolog.Logger, closeLog func(), err error) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	var out io.Writer = os.Stderr
	closeLog = func() {}
	if s.Log.File != "" {
		file, err := os.OpenFile(s.Log.File, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o640)
		if err != nil {
			return log, nil, fmt.Errorf("log.file: %w", err)
		}
		out = file
		closeLog = func() { _ = file.Close() } // the log is gone, so the error cannot be logged
	}
	if s.Log.Format == "console" {
		colored := s.Log.File == "" && strings.Contains(os.Getenv("TERM"), "color")
		out = zerolog.ConsoleWriter{Out: out, TimeFormat: "15:04:05.000", NoColor: !colored}
	}
	setLogLevel(s)
	return zerolog.New(out).With().Timestamp().Str("controller", s.Name).Logger(), closeLog, nil
}

// newEndpointSource returns the source of the endpoint list that the settings select.
func newEndpointSource(s *config.Settings, site *fleet.Site) discovery.EndpointSource {
	if s.List.Source == "http" {
		return &discovery.HTTPSource{
			URL:              s.List.URL,
			Wait:             fleet.Time(s.List.LongPollTimeout),
			OnRequest:        s.List.OnRequest,
			MaxRetryInterval: balancer.MaxRetryInterval(site),
		}
	}
	return &discovery.FileSource{Path: s.List.Path, OnRequest: s.List.OnRequest}
}

// newTransport returns the transport to the proxies that the settings select. If controllers share the proxies, the
// runtime transport uses a lease for each proxy.
func newTransport(
	s *config.Settings, site fleet.Site, proxies []transport.Proxy, names *controller.ServerNames,
	connections *netlimit.Budget,
) transport.Transport {
	if s.Transport.Kind != "runtime" {
		return files.New(files.Options{
			Proxies:          proxies,
			Classes:          s.TransportClasses(),
			Admission:        site.Admission,
			Names:            names,
			MaxRetryInterval: balancer.MaxRetryInterval(&site),
		})
	}
	o := haproxy.Options{
		Proxies:          proxies,
		Classes:          s.TransportClasses(),
		Map:              s.Transport.Map,
		Table:            s.Transport.Table,
		Admission:        site.Admission,
		Names:            names,
		Controller:       s.Name,
		Clock:            func() fleet.Time { return fleet.Time(time.Now().UnixNano()) },
		MaxRetryInterval: balancer.MaxRetryInterval(&site),
		Connections:      connections,
	}
	if len(s.Sharing.Controllers) > 0 {
		plan := lease.Plan(s.ProxyLoads(), s.Sharing.Controllers)
		o.Lease = func(p transport.Proxy) *lease.Lease { return lease.NewLease(s.Name, plan[p.Name]) }
	}
	return haproxy.New(o)
}
