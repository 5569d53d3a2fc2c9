package fleet

// Identifiers. Neither their order nor their size says anything about what they name.
type (
	// ServerID names a server instance: a server that restarts keeps its ID, one that is replaced does not.
	ServerID uint32
	// ProxyID names a proxy.
	ProxyID uint16
	// TableID names a weight table or, where the site has slices, a slice.
	TableID uint16
	// ControllerID names a controller instance.
	ControllerID uint16
	// PeerID addresses a controller in a message between controllers.
	PeerID uint32
	// ClassID is the position of a request class in Site.Classes.
	ClassID uint8
	// ZoneID is the position of a zone in Site.Zones.
	ZoneID uint8
	// KindID is the position of a server kind in Site.Kinds.
	KindID uint8
	// CellID names a group of servers that share idempotency keys.
	CellID uint16
	// TimerID is chosen by whoever sets a timer and returned when it fires.
	TimerID uint32
	// BarrierID is chosen by whoever sets a barrier and returned when a proxy has reached it.
	BarrierID uint64
	// ListRevision orders the endpoint lists of one source.
	ListRevision uint64
)

// AllTables addresses every table in a SetAdmission order.
const AllTables TableID = 65535

// AllPeers addresses a SendToPeer order to all other controllers.
const AllPeers PeerID = 1<<32 - 1

// ClassSet is a set of request classes as a bit mask by ClassID. The zero value stands for all classes.
type ClassSet uint16
