package server

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cressknot/internal/config"
)

// TestReloadAndStop: SIGHUP takes over what may change and refuses the rest whole; a signal to stop ends it in order.
func TestReloadAndStop(t *testing.T) {
	dir := t.TempDir()
	path, log := filepath.Join(dir, "g.cue"), filepath.Join(dir, "log")
	write := func(more string) {
		t.Helper()
		text := `name: "g", zones: ["a"], classes: [{name: "look", expected: "1s", hardStop: "2s"}]
list: path: "` + filepath.Join(dir, "servers.json") + `"
log: file: "` + log + `"
` + more
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "servers.json"), []byte(`{"rev": 1, "servers": []}`), 0o644); err != nil {
		t.Fatal(err)
	}
	write("")
	s, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	signals, done := make(chan os.Signal, 4), make(chan error, 1)
	go func() { done <- run(path, s, signals) }()
	until := func(want string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if text, err := os.ReadFile(log); err == nil && strings.Contains(string(text), want) {
				return
			}
			if time.Now().After(end) {
				text, _ := os.ReadFile(log)
				t.Fatalf("no %q in\n%s", want, text)
			}
		}
	}
	until("governs")
	write(`records: "` + filepath.Join(dir, "records") + `"`)
	signals <- syscall.SIGHUP
	until("settings reloaded")
	if _, err := os.Stat(filepath.Join(dir, "records")); err != nil {
		t.Error("records were not begun:", err)
	}
	write(`channel: linesPerS: 10, log: level: "debug"`)
	signals <- syscall.SIGHUP
	until(`"fields":["channel"]`)
	write(`channel: linesPerS: -10`)
	signals <- syscall.SIGHUP
	until("channel.linesPerS: is -10")
	signals <- syscall.SIGTERM
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("not stopped within 20 s")
	}
}
