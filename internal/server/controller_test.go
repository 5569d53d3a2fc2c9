package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cressknot/internal/config"
)

// settingsTemplate is a minimal settings file. Its arguments are the paths of the endpoint list and of the log.
const settingsTemplate = `name: "g", zones: ["a"], classes: [{name: "look", expected: "1s", hardStop: "2s"}]
list: path: %q
log: file: %q
`

// runTimeout bounds the wait for an expected log message and for the controller to stop.
const runTimeout = 20 * time.Second

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// waitForLog waits until the log file contains a text.
func waitForLog(t *testing.T, path, want string) {
	t.Helper()
	for end := time.Now().Add(runTimeout); ; time.Sleep(5 * time.Millisecond) {
		text, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(text), want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("log does not contain %q after %v:\n%s", want, runTimeout, text)
		}
	}
}

// SIGHUP must apply a change of the event log, and reject a file that changes a field which needs a restart or that is
// invalid. SIGTERM must stop the controller.
func TestControllerReloadsSettingsAndStops(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "g.cue")
	logPath := filepath.Join(dir, "log")
	listPath := filepath.Join(dir, "servers.json")
	writeSettings := func(extra string) {
		t.Helper()
		writeFile(t, path, fmt.Sprintf(settingsTemplate, listPath, logPath)+extra)
	}
	writeFile(t, listPath, `{"rev": 1, "servers": []}`)
	writeSettings("")
	settings, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal, signalCapacity)
	done := make(chan error, 1)
	go func() { done <- run(path, settings, signals) }()
	waitForLog(t, logPath, "controller started")
	eventLogPath := filepath.Join(dir, "records")
	writeSettings(fmt.Sprintf("records: %q", eventLogPath))
	signals <- syscall.SIGHUP
	waitForLog(t, logPath, "settings reloaded")
	if _, err := os.Stat(eventLogPath); err != nil {
		t.Error("event log was not created:", err)
	}
	writeSettings(`channel: linesPerS: 10, log: level: "debug"`)
	signals <- syscall.SIGHUP
	waitForLog(t, logPath, `"fields":["channel"]`)
	writeSettings(`channel: linesPerS: -10`)
	signals <- syscall.SIGHUP
	waitForLog(t, logPath, "channel.linesPerS: is -10")
	signals <- syscall.SIGTERM
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(runTimeout):
		t.Fatal("controller did not stop within", runTimeout)
	}
}
