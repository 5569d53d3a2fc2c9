package haproxy

import (
	"fmt"
	"testing"

	"cressknot/internal/fleet"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

type fixedNames []string

func (n fixedNames) Server(string) (fleet.ServerID, bool)  { return 0, false }
func (n fixedNames) Learn(string, string) fleet.ServerID   { return 0 }
func (n fixedNames) Of(id fleet.ServerID) (string, string) { return n[id], "127.0.0.1:8080" }

// BenchmarkEncode writes a table of 700 lines in three classes as commands.
func BenchmarkEncode(b *testing.B) {
	var names fixedNames
	var m reconcile.Message
	for i := range 700 {
		names = append(names, fmt.Sprintf("node-%03d", i))
		for c := range 3 {
			m.Changes = append(m.Changes, reconcile.Change{Class: fleet.ClassID(c), Server: fleet.ServerID(i), Weight: int16(i % 256)})
		}
	}
	f := New(Options{Classes: []transport.Class{{Name: "look", Backend: "look"}, {Name: "book", Backend: "book"}, {Name: "issue", Backend: "issue"}},
		Map: "cressknot", Names: names})
	s := &session{link: &link{front: f}, keys: map[string]bool{}}
	b.ReportAllocs()
	for b.Loop() {
		e := encoder{s: s, seq: 1, out: s.out[:0]}
		s.expect = s.expect[:0]
		for i := range m.Changes {
			e.index = i
			e.change(&m.Changes[i])
		}
		s.out = e.out
		b.SetBytes(int64(len(e.out)))
	}
}
