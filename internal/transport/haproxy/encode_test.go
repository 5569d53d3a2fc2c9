package haproxy

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// fixedNames holds the names of servers by id. All servers have the same address.
type fixedNames []string

func (n fixedNames) Server(string) (fleet.ServerID, bool)      { return 0, false }
func (n fixedNames) GetOrAssign(string, string) fleet.ServerID { return 0 }
func (n fixedNames) Lookup(id fleet.ServerID) (string, string) { return n[id], "127.0.0.1:8080" }

// BenchmarkEncode encodes a table of 700 entries in three classes.
func BenchmarkEncode(b *testing.B) {
	const servers = 700
	classes := []transport.Class{
		{Name: "look", Backend: "look"},
		{Name: "book", Backend: "book"},
		{Name: "issue", Backend: "issue"},
	}
	var names fixedNames
	var m reconcile.Message
	for server := range servers {
		names = append(names, fmt.Sprintf("node-%03d", server))
		for class := range classes {
			m.Changes = append(m.Changes, reconcile.Change{
				Class:  fleet.ClassID(class),
				Server: fleet.ServerID(server),
				Weight: int16(server % 256),
			})
		}
	}
	tr := New(Options{Classes: classes, Map: "cressknot", Names: names})
	s := &session{link: &link{transport: tr}, mapKeys: map[string]bool{}}
	b.ReportAllocs()
	for b.Loop() {
		e := encoder{session: s, sequence: 1, out: s.out[:0]}
		s.expected = s.expected[:0]
		for i := range m.Changes {
			e.changeIndex = i
			e.appendChange(&m.Changes[i])
		}
		s.out = e.out
		b.SetBytes(int64(len(e.out)))
	}
}
