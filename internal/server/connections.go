package server

import (
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/config"
	"cressknot/internal/netlimit"
)

// At most closedLogBurst connections that were closed for a limit are logged per closedLogPeriod, since clients can
// cause any number of them.
const (
	closedLogBurst  = 5
	closedLogPeriod = 5 * time.Second
)

// newConnectionBudget returns the budget of all connections of a controller of `cressknot serve`.
func newConnectionBudget(settings *config.LimitSettings, log zerolog.Logger) *netlimit.Budget {
	limits := settings.ConnectionLimits(netlimit.ProcessMemory(), netlimit.ProcessDescriptors())
	logLimits(log, limits)
	return netlimit.New(limits, logClosed(log))
}

// platformConnectionFraction is the fraction of the file descriptors of a controller on the platform that connections
// from outside may use. The others are for the relay and discovery.
const platformConnectionFraction = 0.75

// newPlatformBudget returns the budget of the connections from outside to a controller on the users' platform.
func newPlatformBudget(settings *config.Platform, log zerolog.Logger) *netlimit.Budget {
	limits := netlimit.DefaultLimits(int64(settings.MemoryMB)<<20, settings.MaxSockets)
	// The collector server holds little for an idle connection, so that the descriptors alone bound their number.
	limits.Connections = int(float64(settings.MaxSockets) * platformConnectionFraction)
	logLimits(log, limits)
	return netlimit.New(limits, logClosed(log))
}

func logLimits(log zerolog.Logger, limits netlimit.Limits) {
	log.Info().Int64("held_bytes", limits.Bytes).Int("connections", limits.Connections).Msg("limits of all connections")
}

// logClosed returns a function that logs a connection which was closed for a limit.
func logClosed(log zerolog.Logger) func(netlimit.Closed) {
	sampled := log.Sample(&zerolog.BurstSampler{Burst: closedLogBurst, Period: closedLogPeriod})
	return func(closed netlimit.Closed) {
		sampled.Warn().Err(closed.Err).Str("listener", closed.Listener).Str("address", closed.Address).
			Msg("connection closed for a limit of all connections")
	}
}
