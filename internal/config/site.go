package config

import (
	"slices"

	"cressknot/internal/fleet"
	"cressknot/internal/lease"
	"cressknot/internal/transport"
)

// Accepted values of settings that are enumerations.
var (
	idempotencies = map[string]fleet.Idempotency{
		effectSafe: fleet.Idempotent,
		"keyed":    fleet.IdempotentWithKey,
		"unsafe":   fleet.NotIdempotent,
	}
	deduplicationScopes = map[string]fleet.DeduplicationScope{
		"all":  fleet.DeduplicationFleet,
		"zone": fleet.DeduplicationZone,
		"cell": fleet.DeduplicationCell,
	}
	admissionModes = map[string]fleet.AdmissionMode{
		"all":         fleet.AdmissionUnlimited,
		"share":       fleet.AdmissionFraction,
		admissionRate: fleet.AdmissionRate,
	}
	loadReportModes = map[string]fleet.LoadReportMode{
		"none":     fleet.LoadReportNone,
		"answers":  fleet.LoadReportInline,
		"probe":    fleet.LoadReportOnProbe,
		loadPushed: fleet.LoadReportInline,
	}
	listWeights = map[string]fleet.ListWeight{
		"none":    fleet.ListWeightNone,
		"nominal": fleet.ListWeightNominal,
		"rough":   fleet.ListWeightApproximate,
		"live":    fleet.ListWeightLive,
	}
	loadFields = map[string]fleet.LoadField{
		"busy":    fleet.LoadFieldUtilization,
		"held":    fleet.LoadFieldInFlight,
		"queue":   fleet.LoadFieldQueueLength,
		"service": fleet.LoadFieldServiceTimeMs,
		"rate":    fleet.LoadFieldRequestRate,
		"errors":  fleet.LoadFieldErrorRate,
	}
)

// Site converts the settings to the site description that the balancer is created with.
func (s *Settings) Site() fleet.Site {
	site := fleet.Site{
		ControllerIndex:      s.ControllerIndex,
		Controllers:          s.Controllers,
		Zone:                 s.ZoneID(s.Zone),
		Zones:                s.Zones,
		Kinds:                s.Kinds,
		Tick:                 fleet.Millisecond,
		ListOnRequest:        s.List.OnRequest,
		ListWeight:           listWeights[s.List.Weight],
		LoadReports:          loadReportModes[s.Reports.Load],
		ProbesAllowed:        s.Reports.ProbesAllowed,
		Admission:            admissionModes[s.Transport.Admission],
		ProxyCount:           max(s.Transport.ProxyCount, len(s.Proxies)) + len(s.ClientProxies()),
		JoinByZone:           s.Transport.JoinByZone,
		MaxStandingTableSize: s.Transport.MaxStandingTableSize,
		AttemptTimeoutFactor: s.Transport.AttemptTimeoutFactor,
		DefaultRetry:         fleet.RetryMode(s.Transport.DefaultRetry),
		ProxyOutlierFailures: s.Transport.OutlierFailures,
		MinServerConnections: s.Transport.MinServerConnections,
		ReportInterval:       fleet.Time(s.Reports.Interval),
		ReportsPerSecond:     s.Reports.ReportsPerSecond,
		MeanUpdateDelay:      fleet.Time(s.Channel.MeanUpdateDelay),
		MaxUpdateDelay:       fleet.Time(s.Channel.MaxUpdateDelay),
		EntriesPerSecond:     s.Channel.EntriesPerSecond,
		MessageOverhead:      s.Channel.MessageOverhead,
		MaxBacklog:           s.Channel.MaxBacklog,
		MaxMessages:          s.Channel.MaxMessages,
		MessageWindow:        fleet.Time(s.Channel.MessageWindow),
		MaxUnservedDuration:  fleet.Time(s.Channel.MaxUnservedDuration),
		ConnectTimeout:       fleet.Time(s.Transport.ConnectTimeout),
		SlowStart: fleet.SlowStart{
			InitialFraction: s.Servers.SlowStartFraction,
			Duration:        fleet.Time(s.Servers.SlowStartDuration),
		},
		RecoveryRamp: fleet.RecoveryRamp{
			OverloadFactor: s.Servers.OverloadFactor,
			Duration:       fleet.Time(s.Servers.RecoveryDuration),
		},
		DrainTimeout:              fleet.Time(s.Servers.DrainTimeout),
		MaxPollInterval:           fleet.Time(s.List.MaxPollInterval),
		IgnoreRemoval:             !s.Servers.RemovalBinding,
		ObjectiveWorstClassWeight: s.Goal.WorstClassWeight,
		ObjectiveOverallWeight:    s.Goal.OverallWeight,
	}
	for _, field := range s.Reports.LoadFields {
		site.LoadFields = append(site.LoadFields, loadFields[field])
	}
	site.Classes = s.requestClasses()
	return site
}

func (s *Settings) requestClasses() (classes []fleet.RequestClass) {
	for _, c := range s.Classes {
		classes = append(classes, fleet.RequestClass{
			Name:                c.Name,
			Idempotency:         idempotencies[c.Idempotency],
			DeduplicationScope:  deduplicationScopes[c.DeduplicationScope],
			DeduplicationWindow: fleet.Time(c.DeduplicationWindow),
			LatencyObjective:    fleet.Time(c.LatencyObjective),
			Deadline:            fleet.Time(c.Deadline),
			PriorityWeight:      c.PriorityWeight,
			LateValueFraction:   c.LateValueFraction,
			ZoneLocal:           c.ZoneLocal,
			Writes:              c.Writes,
		})
	}
	return classes
}

// ZoneID returns the ID of a zone: its index in Zones. An unknown name gives the ID of the first zone.
func (s *Settings) ZoneID(name string) fleet.ZoneID {
	return fleet.ZoneID(max(0, slices.Index(s.Zones, name)))
}

// TransportProxies returns the configured proxies. Their IDs are their indexes in Proxies.
func (s *Settings) TransportProxies() (proxies []transport.Proxy) {
	for i, p := range s.Proxies {
		proxies = append(proxies, transport.Proxy{
			ID:          fleet.ProxyID(i),
			Name:        p.Name,
			Zone:        s.ZoneID(p.Zone),
			RequestRate: p.RequestRate,
			Addr:        p.Addr,
		})
	}
	return proxies
}

// PushedLoads reports whether servers push their load reports to the controller.
func (s *Settings) PushedLoads() bool { return s.Reports.Load == loadPushed }

// ServesClients reports whether the service for client programs is enabled.
func (s *Settings) ServesClients() bool { return s.Service.RPC != "" || s.Service.Text != "" }

// ClientProxies returns the proxies that represent the clients of the service, one for each zone. Their IDs follow
// those of TransportProxies. It returns nil if the service is disabled.
func (s *Settings) ClientProxies() (proxies []transport.Proxy) {
	if !s.ServesClients() {
		return nil
	}
	for i, zone := range s.Zones {
		proxies = append(proxies, transport.Proxy{
			ID:          fleet.ProxyID(len(s.Proxies) + i),
			Name:        "callers." + zone,
			Zone:        fleet.ZoneID(i),
			RequestRate: s.Service.RequestRate,
			Addr:        "-",
		})
	}
	return proxies
}

// ProxyLoads returns the proxies with their expected request rates, as input to lease.Plan.
func (s *Settings) ProxyLoads() (loads []lease.ProxyLoad) {
	for _, p := range s.Proxies {
		loads = append(loads, lease.ProxyLoad{Proxy: p.Name, RequestRate: p.RequestRate})
	}
	return loads
}

// TransportClasses returns the request classes, by ClassID, with their backend names at the proxies.
func (s *Settings) TransportClasses() (classes []transport.Class) {
	for _, c := range s.Classes {
		classes = append(classes, transport.Class{Name: c.Name, Backend: c.Backend})
	}
	return classes
}
