package server

import (
	"context"
	"os"
	"sync"
	"syscall"

	"cressknot/internal/config"
)

// signalHandler is the goroutine that takes signals until the process is closed.
type signalHandler struct {
	done    chan struct{}
	running sync.WaitGroup
}

func newSignalHandler() signalHandler { return signalHandler{done: make(chan struct{})} }

// handleSignals reloads settings at SIGHUP and calls stop at the first other signal; a second one ends the program.
func (p *controllerProcess) handleSignals(ctx context.Context, stop context.CancelFunc, signals <-chan os.Signal) {
	current := p.settings
	p.signals.running.Go(func() {
		for {
			select {
			case <-p.signals.done:
				return
			case signal := <-signals:
				if signal == syscall.SIGHUP {
					current = p.reload(current)
					continue
				}
				if ctx.Err() != nil {
					p.log.Warn().Stringer("signal", signal).Msg("second shutdown signal received; exiting immediately")
					os.Exit(1)
				}
				p.log.Info().Stringer("signal", signal).Msg("shutdown started")
				stop()
			}
		}
	})
}

// stopSignals ends handleSignals. It comes last, so that a second signal ends the program also while it is closing.
func (p *controllerProcess) stopSignals() {
	close(p.signals.done)
	p.signals.running.Wait()
}

// reload takes over what may change of the settings file, and refuses the file where it changes anything else.
func (p *controllerProcess) reload(current *config.Settings) *config.Settings {
	updated, err := config.Load(p.path)
	if err != nil {
		p.log.Error().Err(err).Msg("settings not reloaded")
		return current
	}
	restartFields := config.FieldsRequiringRestart(current, updated)
	if len(restartFields) == 0 && (updated.Log.Format != current.Log.Format || updated.Log.File != current.Log.File) {
		restartFields = []string{"log.format", "log.file"}
	}
	if len(restartFields) > 0 {
		p.log.Error().Strs("fields", restartFields).Msg("settings not reloaded: changes to these fields require a restart")
		return current
	}
	if updated.EventLog != current.EventLog {
		loop := p.currentLoop()
		if err := loop.RecordTo(updated.EventLog, p.eventLogStart()); err != nil {
			p.log.Error().Err(err).Msg("settings not reloaded")
			if err := loop.RecordTo(current.EventLog, p.eventLogStart()); err != nil {
				p.log.Error().Err(err).Msg("could not reopen the previous event log")
			}
			return current
		}
	}
	setLogLevel(updated)
	p.log.Info().Msg("settings reloaded")
	return updated
}
