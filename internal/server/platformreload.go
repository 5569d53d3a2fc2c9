package server

import (
	"reflect"
	"time"

	"cressknot/internal/config"
)

const (
	// platformReloadRetryDelay is the delay before an unreadable configuration file, which may be half written, is read
	// again.
	platformReloadRetryDelay = 100 * time.Millisecond
	// maxPlatformReloadAttempts ends the retries before the old addresses close, 1.5 s after SIGHUP.
	maxPlatformReloadAttempts = 10
)

// reload reads the configuration and applies it. A file that cannot be read may be half written, so it is read again
// after a delay, up to maxPlatformReloadAttempts times in all.
func (s *platformServer) reload() {
	s.reloadRetry = nil
	updated, err := config.LoadPlatform(s.getenv)
	if err == nil {
		s.apply(updated)
		return
	}
	s.reloadAttempts++
	if s.reloadAttempts < maxPlatformReloadAttempts {
		s.reloadRetry = time.After(platformReloadRetryDelay)
		return
	}
	s.log.Error().Err(err).Msg("configuration reload failed")
}

// apply switches to the relay and discovery addresses of a new configuration. If any key that needs a restart has
// changed, the whole configuration is rejected, including its addresses.
func (s *platformServer) apply(updated *config.Platform) {
	if key := restartKey(s.settings, updated); key != "" {
		s.log.Error().Str("key", key).Msg("configuration rejected: the change needs a restart")
		return
	}
	if updated.RelayAddr != s.settings.RelayAddr {
		s.relay.SetAddress(updated.RelayAddr)
	}
	if updated.DiscoveryAddr != s.settings.DiscoveryAddr {
		s.endpoints.SetAddress(updated.DiscoveryAddr)
	}
	s.settings = updated
	s.log.Info().Str("relay", updated.RelayAddr).Str("discovery", updated.DiscoveryAddr).Msg("configuration reloaded")
}

// restartKey returns the first settings key whose change needs a restart, or "" if there is none.
func restartKey(current, updated *config.Platform) string {
	switch {
	case updated.Name != current.Name:
		return "name"
	case updated.ListenAddr != current.ListenAddr:
		return "listen"
	case !reflect.DeepEqual(updated.Site, current.Site):
		return "settings"
	}
	return ""
}
