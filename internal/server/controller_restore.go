package server

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cressknot/internal/controller"
	"cressknot/internal/discovery"
	"cressknot/internal/discovery/verification"
	"cressknot/internal/fleet"
	"cressknot/internal/store"
)

// openStore opens the store and has the core restore what is in it; it gives the endpoint lists. A store that another
// process has open, or that a newer program wrote, prevents the start: going on would run one controller twice, or lose
// what the newer one persisted. Any other fault costs the store only.
func (p *controllerProcess) openStore() ([]verification.Generation[discovery.Endpoint], error) {
	opened, err := store.Open(store.Options{Directory: p.settings.Store.Directory, OnHealthChange: p.logStoreHealth})
	var newer *store.NewerError
	var busy *store.BusyError
	switch {
	case errors.As(err, &newer), errors.As(err, &busy):
		return nil, err
	case err != nil:
		p.log.Error().Err(err).Msg("could not open the store; continuing without restoring or persisting state")
		return nil, nil
	}
	p.options.Store = opened
	p.onClose(func() {
		if err := opened.Close(); err != nil {
			p.log.Error().Err(err).Msg("could not close the store; some state may not be persisted")
		}
	})
	restored, err := p.core.Restore(fleet.Time(time.Now().UnixNano()), opened)
	if err != nil {
		p.log.Error().Err(err).Msg("could not restore all state from the store")
	}
	for _, record := range restored.Unreadable {
		p.log.Warn().Str("lost", record).Msg("stored record is damaged")
	}
	p.log.Info().Int("tables", restored.Tables).Int("pins", restored.Pins).Int("weights", restored.ManualWeights).
		Bool("list", len(restored.Lists) > 0).Msg("state restored")
	// No version of this epoch may leave before the epoch is on disk.
	done := make(chan error, 1)
	change := store.Change{Key: controller.EpochKey, Value: restored.Epoch}
	err = opened.Put([]store.Change{change}, func(err error) { done <- err })
	if err == nil {
		err = <-done
	}
	if err != nil {
		p.log.Error().Err(err).Msg("could not persist the epoch")
	}
	return restored.Lists, nil
}

func (p *controllerProcess) logStoreHealth(failing bool, err error) {
	if failing {
		p.log.Error().Err(err).Msg("could not write to the store; retrying until it succeeds")
	} else {
		p.log.Info().Msg("store has recovered; state is persisted again")
	}
}

// chooseCachedList makes one list of those that were cached and persisted, nil for none.
func chooseCachedList(lists []verification.Generation[discovery.Endpoint], log zerolog.Logger) *discovery.Update {
	chosen, ok := verification.Choose(fleet.Time(time.Now().UnixNano()), lists)
	for _, notice := range chosen.Notices {
		log.Warn().Str("source", "list").Str("notice", notice).Msg("cached endpoint lists differ")
	}
	if !ok {
		return nil
	}
	update := &discovery.Update{
		Scope:       fleet.ListCached,
		List:        discovery.EndpointList{Revision: chosen.Revision},
		ConfirmedAt: chosen.ConfirmedAt,
		Unverified:  chosen.Unverified,
	}
	for _, name := range slices.Sorted(maps.Keys(chosen.Entries)) {
		update.List.Endpoints = append(update.List.Endpoints, chosen.Entries[name])
	}
	log.Info().Int("servers", len(update.List.Endpoints)).Uint64("revision", chosen.Revision).
		Str("source", chosen.Source).Time("confirmed", time.Unix(0, int64(chosen.ConfirmedAt))).
		Msg("starting from a cached endpoint list")
	return update
}
