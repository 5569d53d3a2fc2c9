package haproxy

import (
	"strings"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// TestEncoderWritesTheseCommands checks the commands written for each kind of change.
func TestEncoderWritesTheseCommands(t *testing.T) {
	tr := New(Options{
		Classes: []transport.Class{{Name: "look", Backend: "be look"}, {Name: "book", Backend: "book"}},
		Map:     "cressknot",
		Names:   fixedNames{"node-0", "node 1"},
	})
	s := &session{link: &link{transport: tr}, mapKeys: map[string]bool{"book" + transport.RetryKeySuffix: true}}
	e := encoder{session: s, sequence: 1}
	for i, change := range []reconcile.Change{
		{Kind: reconcile.AddEntry, Class: 0, Server: 1, Weight: 7, State: reconcile.StateReady},
		{Kind: reconcile.DeleteEntry, Class: 1, Server: 0},
		{Class: 1, Server: 0, Weight: 128, State: reconcile.StateReady},
		{Class: 1, Server: 0, Weight: 9, State: reconcile.StateMaintenance, AddressChanged: true},
		{Class: 1, Server: 0, Weight: -1, State: reconcile.StateDrain},
		{Class: 1, Server: 0, Weight: 256, State: reconcile.StateUnchanged},
		{Kind: reconcile.UpdateAdmission, Class: 1, Admission: reconcile.Admission{Limit: 500, Retry: fleet.RetryOnce}},
		{Kind: reconcile.UpdateAdmission, Class: 0, Admission: reconcile.Admission{Limit: -1}},
		{Kind: reconcile.UpdateVersion, Class: 1, VersionStamp: "3.4/00ff"},
	} {
		e.changeIndex = i
		e.appendChange(&change)
	}
	const want = `add server be\ look/node\ 1 127.0.0.1:8080 weight 7;` +
		`set server be\ look/node\ 1 state ready;del server book/node-0;` +
		`set server book/node-0 weight 128;set server book/node-0 state ready;` +
		`set server book/node-0 addr 127.0.0.1 port 8080;set server book/node-0 state maint;` +
		`set server book/node-0 weight 9;` +
		`set server book/node-0 state drain;set server book/node-0 weight 256;`
	if got := string(e.out); !strings.HasPrefix(got, want) {
		t.Errorf("commands\n%s\nwant\n%s", got, want)
	} else if rest := got[len(want):]; rest != mapCommands {
		t.Errorf("map commands\n%s\nwant\n%s", rest, mapCommands)
	}
}

const mapCommands = "add map cressknot book.share 500;set map cressknot book.retry 2;" +
	"add map cressknot look.share 1000;add map cressknot look.retry 0;add map cressknot book.version 3.4/00ff"
