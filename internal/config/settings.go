package config

import (
	"time"

	"cressknot/internal/fleet"
)

// Duration is a time with its unit, as "2s".
type Duration fleet.Time

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed.Nanoseconds())
	return err
}

// Settings are what a settings file says, with the schema's defaults. schema.cue says what each field means; the tags
// are the keys of the file and never change.
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
	Store           StoreSettings     `json:"store"`
	Operators       OperatorSettings  `json:"operators"`
	Log             LogSettings       `json:"log"`
	SafetyChecks    bool              `json:"guard"`
	Faults          []string          `json:"faults"`
	EventLog        string            `json:"records"`
}

// ClassSettings are those of a request class.
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

// ProxySettings are those of a proxy. RequestRate is per second.
type ProxySettings struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Addr        string  `json:"addr"`
	RequestRate float64 `json:"visits"`
}

// ListSettings are those of the endpoint source.
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

// TransportSettings are those of the transport to the proxies, and of the proxies' own behavior.
type TransportSettings struct {
	Kind                 string   `json:"kind"`
	Map                  string   `json:"map"`
	Table                string   `json:"table"`
	Admission            string   `json:"admission"`
	ProxyCount           int      `json:"proxies"`
	JoinByZone           bool     `json:"joinByZone"`
	StandingTableSize    int      `json:"standing"`
	DefaultRetry         uint8    `json:"retryDefault"`
	AttemptTimeoutFactor float64  `json:"perTry"`
	OutlierFailures      int      `json:"outlierAfter"`
	MinServerConnections float64  `json:"connLeast"`
	ConnectTimeout       Duration `json:"connect"`
}

// ChannelSettings are those of the update channel to the proxies.
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

// ReportSettings are those of load reports and probes.
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

// ServerSettings say how servers start, recover and drain.
type ServerSettings struct {
	SlowStartFraction float64  `json:"coldFrom"`
	SlowStartDuration Duration `json:"coldFor"`
	OverloadFactor    float64  `json:"fallFactor"`
	RecoveryDuration  Duration `json:"fallFor"`
	DrainTimeout      Duration `json:"drainGrace"`
	RemovalBinding    bool     `json:"goneBinds"`
}

// GoalSettings weigh the fleet as a whole against its worst class.
type GoalSettings struct {
	OverallWeight    float64 `json:"whole"`
	WorstClassWeight float64 `json:"worstClass"`
}

// PeerSettings are those of the gossip with other controllers.
type PeerSettings struct {
	Listen  string   `json:"listen"`
	Join    []string `json:"join"`
	KeyFile string   `json:"keyFile"`
}

// SharingSettings name the controllers that share the proxies.
type SharingSettings struct {
	Controllers []string `json:"governors"`
}

// ServiceSettings are those of the service for programs. RequestRate is per second and zone.
type ServiceSettings struct {
	RPC         string  `json:"rpc"`
	Text        string  `json:"text"`
	RequestRate float64 `json:"visits"`
}

// StoreSettings are those of the state that survives a restart.
type StoreSettings struct {
	Directory string `json:"folder"`
}

// OperatorSettings are those of the operators' socket and of a stop.
type OperatorSettings struct {
	Socket      string   `json:"socket"`
	StopTimeout Duration `json:"stop"`
}

// LogSettings are those of the process's log.
type LogSettings struct {
	Level  string `json:"level"`
	Format string `json:"format"`
	File   string `json:"file"`
}
