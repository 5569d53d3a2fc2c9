package fleet

// Names of server states in endpoint lists, in operators' files and in answers to operators.
const (
	ServerReadyName    = "ready"
	ServerDrainingName = "draining"
	ServerGoneName     = "gone"
)

// Name returns the state's name, "" for an invalid value.
func (s ServerState) Name() string {
	switch s {
	case ServerReady:
		return ServerReadyName
	case ServerDraining:
		return ServerDrainingName
	case ServerGone:
		return ServerGoneName
	}
	return ""
}

// ParseServerState returns the state with a name, and whether the name is known. The empty name means ready; for an
// unknown name the state is ServerReady, too.
func ParseServerState(name string) (state ServerState, known bool) {
	switch name {
	case "", ServerReadyName:
		return ServerReady, true
	case ServerDrainingName:
		return ServerDraining, true
	case ServerGoneName:
		return ServerGone, true
	}
	return ServerReady, false
}
