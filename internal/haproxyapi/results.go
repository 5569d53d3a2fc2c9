package haproxyapi

// Texts with which a proxy answers a command: that it was carried out, or why it was not.
const (
	Success          = ""
	Registered       = "New server registered.\n"
	Deleted          = "Server deleted.\n"
	NoBackend        = "No such backend.\n"
	NoServer         = "No such server.\n"
	ServerRequired   = "Require 'backend/server'.\n"
	ServerExists     = "Already exists a server with the same name in backend.\n"
	NotInMaintenance = "Only servers in maintenance mode can be deleted.\n"
	HasConnections   = "Server still has connections attached to it, cannot remove it.\n"
	NoMap            = "Unknown map identifier. Please use #<id> or <file>.\n"
	NoKey            = "entry not found.\n"
	NoTable          = "No such table.\n"
	BadWeight        = "Absolute weight can only be between 0 and 256 inclusive.\n"
	BadState         = "'set server <srv> state' expects 'ready', 'drain' and 'maint'.\n"
	AddrChanged      = "IP changed"        // a prefix; the old and the new address follow
	AddrUnchanged    = "no need to change" // a prefix; the server had that address already
	UnknownPrefix    = "Unknown command: "
)

// MaxWeight is the largest weight of a server.
const MaxWeight = 256

// Admin states of a server, as bits of srv_admin_state in "show servers state".
const (
	AdminMaint = 0x01 // SRV_ADMF_FMAINT: forced into maintenance by the socket
	AdminDrain = 0x08 // SRV_ADMF_FDRAIN: forced into draining by the socket
)
