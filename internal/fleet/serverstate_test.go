package fleet

import "testing"

func TestServerStateNamesParse(t *testing.T) {
	for _, state := range []ServerState{ServerReady, ServerDraining, ServerGone} {
		if parsed, known := ParseServerState(state.Name()); parsed != state || !known {
			t.Errorf("%q parses as %d, known %v", state.Name(), parsed, known)
		}
	}
	for name, want := range map[string]bool{"": true, "Ready": false, "restarting": false} {
		if state, known := ParseServerState(name); state != ServerReady || known != want {
			t.Errorf("%q parses as %d, known %v", name, state, known)
		}
	}
	if name := ServerState(9).Name(); name != "" {
		t.Errorf("an invalid state has the name %q", name)
	}
}
