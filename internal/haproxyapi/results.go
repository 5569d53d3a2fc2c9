package haproxyapi

// Answers of a proxy to a command: success, or the reason for the failure.
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
	AddrChanged      = "IP changed"        // prefix, followed by the old and the new address
	AddrUnchanged    = "no need to change" // prefix; the server already had that address
	UnknownPrefix    = "Unknown command: "
)

// MaxWeight is the maximum weight of a server.
const MaxWeight = 256

// Administrative states of a server: bits of srv_admin_state in "show servers state".
const (
	AdminMaint = 0x01 // SRV_ADMF_FMAINT: put into maintenance through the runtime API
	AdminDrain = 0x08 // SRV_ADMF_FDRAIN: put into drain through the runtime API
)
