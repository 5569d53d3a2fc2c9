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

// openStore opens the store, restores the state of the core from it and returns the stored endpoint lists. It returns
// an error, which prevents the start, if another process has the store open or a newer program version wrote it:
// continuing would run the same controller twice, or lose what the newer version persisted. After any other failure
// to open it, the controller runs without a store.
func (p *controllerProcess) openStore() ([]verification.Generation[discovery.Endpoint], error) {
	stateStore, err := store.Open(store.Options{Directory: p.settings.Store.Directory, OnHealthChange: p.logStoreHealth})
	var newerErr *store.NewerFormatError
	var busyErr *store.LockedError
	switch {
	case errors.As(err, &newerErr), errors.As(err, &busyErr):
		return nil, err
	case err != nil:
		p.log.Error().Err(err).Msg("could not open the store; continuing without restoring or persisting state")
		return nil, nil
	}
	p.options.Store = stateStore
	p.onClose(func() {
		if err := stateStore.Close(); err != nil {
			p.log.Error().Err(err).Msg("could not close the store; some state may not be persisted")
		}
	})
	restored, err := p.core.Restore(fleet.Time(time.Now().UnixNano()), stateStore)
	if err != nil {
		p.log.Error().Err(err).Msg("could not restore all state from the store")
	}
	for _, record := range restored.Unreadable {
		p.log.Warn().Str("lost", record).Msg("stored record is damaged")
	}
	p.log.Info().Int("tables", restored.Tables).Int("pins", restored.Pins).Int("weights", restored.ManualWeights).
		Bool("list", len(restored.Lists) > 0).Msg("state restored")
	// The epoch must be on disk before any table version of it is sent.
	done := make(chan error, 1)
	change := store.Change{Key: controller.EpochKey, Value: restored.Epoch}
	err = stateStore.Put([]store.Change{change}, func(err error) { done <- err })
	if err == nil {
		err = <-done
	}
	if err != nil {
		p.log.Error().Err(err).Msg("could not persist the epoch")
	}
	return restored.Lists, nil
}

// logStoreHealth logs when writes to the store start to fail and when they succeed again.
func (p *controllerProcess) logStoreHealth(failing bool, err error) {
	if failing {
		p.log.Error().Err(err).Msg("could not write to the store; retrying until it succeeds")
	} else {
		p.log.Info().Msg("store has recovered; state is persisted again")
	}
}

// chooseCachedList selects the endpoint list to start from among those in the cache and the store. It returns nil if
// there is none.
func chooseCachedList(lists []verification.Generation[discovery.Endpoint], log zerolog.Logger) *discovery.Update {
	chosen, ok := verification.ChooseGeneration(fleet.Time(time.Now().UnixNano()), lists)
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
