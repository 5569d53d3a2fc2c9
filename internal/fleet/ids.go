package fleet

// Identifiers. Neither their order nor their magnitude has a meaning.
type (
	// ServerID identifies a server instance. It survives a restart; a replacement gets a new ID.
	ServerID uint32
	// ProxyID identifies a proxy among all proxies of the site.
	ProxyID uint16
	// TableID identifies a weight table or, on sites with slices, a slice.
	TableID uint16
	// ControllerID identifies a controller instance.
	ControllerID uint16
	// PeerID is the address of a controller in SendToPeer; see AllPeers.
	PeerID uint32
	// ClassID is the position of a request class in Site.Classes.
	ClassID uint8
	// ZoneID is the position of a zone in Site.Zones.
	ZoneID uint8
	// KindID is the position of a server kind in Site.Kinds.
	KindID uint8
	// CellID identifies a group of servers that share idempotency keys.
	CellID uint16
	// TimerID is chosen by the sender of SetTimer and returned in TimerFired.
	TimerID uint32
	// BarrierID is chosen by the sender of Barrier and returned in BarrierReached.
	BarrierID uint64
	// ListRevision orders the endpoint lists of one source.
	ListRevision uint64
)

// AllTables addresses every table in a SetAdmission order.
const AllTables TableID = 65535

// AllPeers addresses a SendToPeer order to all other controllers.
const AllPeers PeerID = 1<<32 - 1

// ClassSet is a set of request classes, a bit mask by ClassID. The zero value means all classes.
type ClassSet uint16
