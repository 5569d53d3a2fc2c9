package discovery

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/testing/await"
)

// replaceListFile atomically replaces the file by a list of one endpoint.
func replaceListFile(t *testing.T, path string, revision uint64) {
	t.Helper()
	text, err := json.Marshal(EndpointList{Revision: revision, Endpoints: []Endpoint{{Name: "a", Addr: "x:1"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func TestFileSourceDeliversChangesAndFailures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers.json")
	replaceListFile(t, path, 1)
	updates := startSource(t, &FileSource{Path: path})
	if update := await.Receive(t, updates); update.List.Revision != 1 || update.Scope != fleet.ListFull {
		t.Fatalf("%+v", update)
	}
	replaceListFile(t, path, 2)
	for await.Receive(t, updates).List.Revision != 2 {
	}
	if err := os.WriteFile(path, []byte(`{"rev": 3, "serv`), 0o644); err != nil {
		t.Fatal(err)
	}
	update := await.Receive(t, updates)
	for update.Err == nil {
		update = await.Receive(t, updates)
	}
	if update.Scope != fleet.ListFailed || !strings.Contains(update.Err.Error(), "servers.json") {
		t.Errorf("%+v", update)
	}
}
