package server

import (
	"context"
	"os"
	"sync"
	"syscall"

	"cressknot/internal/config"
)

// signalHandler controls the goroutine that handles signals until done is closed.
type signalHandler struct {
	done    chan struct{}
	running sync.WaitGroup
}

func newSignalHandler() signalHandler { return signalHandler{done: make(chan struct{})} }

// handleSignals starts a goroutine that reloads settings on SIGHUP and calls stop on the first other signal. A further
// one ends the program.
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

// stopSignals ends the goroutine of handleSignals. It runs after close, so that a second signal ends the program even
// while resources are being closed.
func (p *controllerProcess) stopSignals() {
	close(p.signals.done)
	p.signals.running.Wait()
}

// reload reads the settings file again and applies changes of the log level and the event log. If any other field has
// changed, it rejects the whole file. It returns the settings in effect.
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
