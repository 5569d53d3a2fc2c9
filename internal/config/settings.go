package config

import (
	"time"

	"cressknot/internal/fleet"
	"cressknot/internal/netlimit"
)

// Duration is a length of time in nanoseconds. Files write it with a unit, as "2s".
type Duration fleet.Time

// UnmarshalText parses the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed.Nanoseconds())
	return err
}

// Settings are the contents of a settings file, with the schema's defaults applied. schema.cue documents each field.
// The tags are the keys of the file, which must not change.
type Settings struct {
	Name            string            `json:"name"`
	Seed            uint64            `json:"seed"`
	ControllerIndex int               `json:"me"`
	Controllers     int               `json:"governors"`
	Zones           []string          `json:"zones"`
	Zone            string            `json:"zone"`
	Kinds           []string          `json:"kinds"`
	Classes         []ClassSettings   `json:"classes"`
	Proxies         []ProxySettings   `json:"proxies"`
	List            ListSettings      `json:"list"`
	Transport       TransportSettings `json:"front"`
	Channel         ChannelSettings   `json:"channel"`
	Reports         ReportSettings    `json:"reports"`
	Servers         ServerSettings    `json:"servers"`
	Goal            GoalSettings      `json:"goal"`
	Peers           PeerSettings      `json:"peers"`
	Sharing         SharingSettings   `json:"sharing"`
	Service         ServiceSettings   `json:"service"`
	Limits          LimitSettings     `json:"limits"`
	Store           StoreSettings     `json:"store"`
	Operators       OperatorSettings  `json:"operators"`
	Log             LogSettings       `json:"log"`
	SafetyChecks    bool              `json:"guard"`
	Faults          []string          `json:"faults"`
	EventLog        string            `json:"records"`
}

// ClassSettings describe one request class.
type ClassSettings struct {
	Name                string   `json:"name"`
	Backend             string   `json:"backend"`
	Idempotency         string   `json:"effect"`
	DeduplicationScope  string   `json:"group"`
	DeduplicationWindow Duration `json:"window"`
	LatencyObjective    Duration `json:"expected"`
	Deadline            Duration `json:"hardStop"`
	PriorityWeight      float64  `json:"value"`
	LateValueFraction   float64  `json:"lateShare"`
	ZoneLocal           bool     `json:"staysLocal"`
	Writes              bool     `json:"writes"`
}

// ProxySettings describe one proxy. RequestRate is the expected rate in requests per second.
type ProxySettings struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Addr        string  `json:"addr"`
	RequestRate float64 `json:"visits"`
}

// ListSettings configure the source of the endpoint list, its cache and its verification.
type ListSettings struct {
	Source           string   `json:"source"`
	Path             string   `json:"path"`
	URL              string   `json:"url"`
	OnRequest        bool     `json:"onRequest"`
	MaxPollInterval  Duration `json:"askWithin"`
	LongPollTimeout  Duration `json:"wait"`
	CachePath        string   `json:"cache"`
	VerificationMode string   `json:"prove"`
	Weight           string   `json:"weight"`
}

// TransportSettings configure the transport to the proxies and describe how the proxies themselves behave.
type TransportSettings struct {
	Kind                 string   `json:"kind"`
	Map                  string   `json:"map"`
	Table                string   `json:"table"`
	Admission            string   `json:"admission"`
	ProxyCount           int      `json:"proxies"`
	JoinByZone           bool     `json:"joinByZone"`
	MaxStandingTableSize int      `json:"standing"`
	DefaultRetry         uint8    `json:"retryDefault"`
	AttemptTimeoutFactor float64  `json:"perTry"`
	OutlierFailures      int      `json:"outlierAfter"`
	MinServerConnections float64  `json:"connLeast"`
	ConnectTimeout       Duration `json:"connect"`
}

// ChannelSettings describe the capacity and delays of the update channel to the proxies. MessageOverhead and MaxBacklog
// are in table entries.
type ChannelSettings struct {
	EntriesPerSecond    float64  `json:"linesPerS"`
	MessageOverhead     float64  `json:"head"`
	MaxBacklog          float64  `json:"backlog"`
	MaxMessages         int      `json:"messages"`
	MessageWindow       Duration `json:"messagesOver"`
	MeanUpdateDelay     Duration `json:"travel"`
	MaxUpdateDelay      Duration `json:"travelMost"`
	MaxUnservedDuration Duration `json:"bare"`
}

// ReportSettings configure load reports and probes. ReportsPerSecond is the rate limit of load reports.
type ReportSettings struct {
	Interval         Duration `json:"every"`
	ReportsPerSecond float64  `json:"linesPerS"`
	Load             string   `json:"load"`
	Listen           string   `json:"listen"`
	SeriesPath       string   `json:"series"`
	LoadFields       []string `json:"fields"`
	ProbesAllowed    bool     `json:"probes"`
	ProbePath        string   `json:"probePath"`
}

// ServerSettings describe how servers start, recover from overload and drain.
type ServerSettings struct {
	SlowStartFraction float64  `json:"coldFrom"`
	SlowStartDuration Duration `json:"coldFor"`
	OverloadFactor    float64  `json:"fallFactor"`
	RecoveryDuration  Duration `json:"fallFor"`
	DrainTimeout      Duration `json:"drainGrace"`
	RemovalBinding    bool     `json:"goneBinds"`
}

// GoalSettings are the weights of the fleet as a whole and of its worst class in the objective.
type GoalSettings struct {
	OverallWeight    float64 `json:"whole"`
	WorstClassWeight float64 `json:"worstClass"`
}

// PeerSettings configure gossip with other controllers. An empty Listen disables it.
type PeerSettings struct {
	Listen  string   `json:"listen"`
	Join    []string `json:"join"`
	KeyFile string   `json:"keyFile"`
}

// SharingSettings name the controllers that divide the proxies among them. An empty list means no sharing.
type SharingSettings struct {
	Controllers []string `json:"governors"`
}

// ServiceSettings configure the service for client programs; an empty RPC or Text disables that protocol. RequestRate
// is the expected rate in requests per second of the clients of one zone.
type ServiceSettings struct {
	RPC         string  `json:"rpc"`
	Text        string  `json:"text"`
	RequestRate float64 `json:"visits"`
}

// LimitSettings limit what the connections of all listeners and links may use together. MemoryMB is what the process
// may use, HeldMB what connections may hold of it, both in MiB. Zero stands for the default.
type LimitSettings struct {
	MemoryMB    int `json:"memoryMB"`
	HeldMB      int `json:"heldMB"`
	Connections int `json:"connections"`
}

// ConnectionLimits returns the limits of all connections together for a process that may use this memory, in bytes, and
// this number of file descriptors if the settings do not say so.
func (l *LimitSettings) ConnectionLimits(memory int64, descriptors int) netlimit.Limits {
	if l.MemoryMB > 0 {
		memory = int64(l.MemoryMB) << 20
	}
	limits := netlimit.DefaultLimits(memory, descriptors)
	if l.HeldMB > 0 {
		limits.Bytes = int64(l.HeldMB) << 20
	}
	if l.Connections > 0 {
		limits.Connections = l.Connections
	}
	return limits
}

// StoreSettings configure the store of state that survives a restart. An empty Directory disables it.
type StoreSettings struct {
	Directory string `json:"folder"`
}

// OperatorSettings configure the operators' socket, which an empty Socket disables, and the shutdown timeout.
type OperatorSettings struct {
	Socket      string   `json:"socket"`
	StopTimeout Duration `json:"stop"`
}

// LogSettings configure the log of the process. An empty File means standard error.
type LogSettings struct {
	Level  string `json:"level"`
	Format string `json:"format"`
	File   string `json:"file"`
}
