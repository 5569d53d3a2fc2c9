package simwire

import "cressknot/internal/fleet"

// LoadFieldByName maps the protocol's names of the values of a load report. It is read-only. An unknown name maps to
// fleet.LoadFieldOther, the zero value.
var LoadFieldByName = map[string]fleet.LoadField{
	"rif":       fleet.LoadFieldInFlight,
	"q":         fleet.LoadFieldQueueLength,
	"busy":      fleet.LoadFieldUtilization,
	"lat_ms":    fleet.LoadFieldServiceTimeMs,
	"rate":      fleet.LoadFieldRequestRate,
	"fail_rate": fleet.LoadFieldErrorRate,
}

// The values of enumerations in the settings. A key whose map has the empty name may be missing.
var (
	listOnRequestByName = map[string]bool{
		"pushed":     false,
		"on_request": true,
	}
	listWeightByName = map[string]fleet.ListWeight{
		"":        fleet.ListWeightNone,
		"off":     fleet.ListWeightNone,
		"nominal": fleet.ListWeightNominal,
		"rough":   fleet.ListWeightApproximate,
		"live":    fleet.ListWeightLive,
	}
	loadReportModeByName = map[string]fleet.LoadReportMode{
		"":         fleet.LoadReportNone,
		"off":      fleet.LoadReportNone,
		"inline":   fleet.LoadReportInline,
		"on_probe": fleet.LoadReportOnProbe,
	}
	admissionModeByName = map[string]fleet.AdmissionMode{
		"":      fleet.AdmissionUnlimited,
		"off":   fleet.AdmissionUnlimited,
		"ratio": fleet.AdmissionFraction,
		"rps":   fleet.AdmissionRate,
	}
	idempotencyByName = map[string]fleet.Idempotency{
		"read_like":       fleet.Idempotent,
		"idempotency_key": fleet.IdempotentWithKey,
		"non_idempotent":  fleet.NotIdempotent,
	}
	deduplicationScopeByName = map[string]fleet.DeduplicationScope{
		"all":  fleet.DeduplicationFleet,
		"zone": fleet.DeduplicationZone,
		"cell": fleet.DeduplicationCell,
	}
)
