// Package sites has site settings for tests.
package sites

import "cressknot/internal/fleet"

// Platform returns a site of the users' platform with one class, whose endpoint list is sent on request.
func Platform() fleet.Site {
	return fleet.Site{
		Zones:         []string{"a", "b"},
		Kinds:         []string{"m"},
		Controllers:   1,
		ProxyCount:    8,
		ListOnRequest: true,
		Classes: []fleet.RequestClass{
			{Name: "look", LatencyObjective: fleet.Second, Deadline: 2 * fleet.Second, PriorityWeight: 1},
		},
		LoadReports:         fleet.LoadReportInline,
		LoadFields:          []fleet.LoadField{fleet.LoadFieldUtilization},
		ReportInterval:      fleet.Second,
		ReportsPerSecond:    500,
		EntriesPerSecond:    15000,
		MessageOverhead:     6,
		MaxBacklog:          30000,
		MaxMessages:         20,
		MessageWindow:       10 * fleet.Second,
		MaxUnservedDuration: 5 * fleet.Second,
		SlowStart:           fleet.SlowStart{InitialFraction: 0.2, Duration: 5 * fleet.Second},
		RecoveryRamp:        fleet.RecoveryRamp{OverloadFactor: 4, Duration: 2 * fleet.Second},
		DrainTimeout:        3 * fleet.Second,
		MaxPollInterval:     10 * fleet.Second,
	}
}
