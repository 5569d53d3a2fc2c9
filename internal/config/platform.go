package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"strconv"

	"cressknot/internal/discovery"
	"cressknot/internal/fleet"
	"cressknot/internal/simwire"
)

// The environment variables of a controller on the users' platform. RELAY_CONFIG is required; each other one applies
// if the file lacks its key.
const (
	platformFileVariable      = "RELAY_CONFIG"
	platformNameVariable      = "RELAY_NAME"
	platformListenVariable    = "RELAY_LISTEN"
	platformDiscoveryVariable = "RELAY_DISCOVERY"
)

// Limits of settings on the platform.
const (
	// maxSiteNameBytes bounds the name of a zone or kind. DNS names have at most 253 bytes, and the first message of a
	// collector, which carries the zone, has a size limit.
	maxSiteNameBytes = 256
	minMemoryMB      = 16
	minSockets       = 64
	maxSockets       = 1 << 20
	// maxChannelValue bounds the rate, in entries per second, and the backlog, in entries, of the update channel.
	maxChannelValue = 1e9
	seedBase        = 16
)

// Platform is the configuration of a controller on the users' platform. The environment variable RELAY_CONFIG is the
// path of a JSON file; RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY apply if the file lacks their keys.
type Platform struct {
	Name           string
	ListenAddr     string // where proxies' collectors connect
	DiscoveryAddr  string
	RelayAddr      string
	Seed           uint64
	Cores          float64
	MemoryMB       int
	MaxSockets     int
	KnownEndpoints discovery.EndpointList // the list that this controller had last; empty if none
	Site           fleet.Site
}

// ClassNames returns the names of the site's request classes, by ClassID.
func (p *Platform) ClassNames() []string {
	var names []string
	for _, class := range p.Site.Classes {
		names = append(names, class.Name)
	}
	return names
}

// LoadPlatform reads and validates the configuration that RELAY_CONFIG points to. The error names the first invalid
// key. Getenv is os.Getenv except in tests.
func LoadPlatform(getenv func(string) string) (*Platform, error) {
	path := getenv(platformFileVariable)
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set; expected the path of the JSON configuration file")
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: file is larger than the limit of %d bytes", path, maxFileBytes)
	}
	settings, err := ParsePlatform(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// platformFile is the layout of the JSON file. It is an alias of an unnamed struct so that errors of package json
// contain only keys and no Go type name.
type platformFile = struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Store struct {
		Address string `json:"address"`
	} `json:"store"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// ParsePlatform is LoadPlatform for text that is already in memory. The error names the first invalid key, or the byte
// of a syntax error.
func ParsePlatform(text []byte, getenv func(string) string) (*Platform, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, simwire.LocateJSONError(err)
	}
	applyEnvironment(&file, getenv)
	if err := validateFile(&file); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(file.Seed, seedBase, 64)
	if err != nil {
		return nil, fmt.Errorf("key \"seed\": is %.40q; expected a 64-bit hexadecimal number without 0x", file.Seed)
	}
	site, err := simwire.ParseSite(file.Settings)
	if err != nil {
		return nil, err
	}
	if err := validateSite(site); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	known, err := parseKnownEndpoints(file.Known, site)
	if err != nil {
		return nil, fmt.Errorf("key \"known\": %w", err)
	}
	return &Platform{
		Name:           file.Name,
		ListenAddr:     file.Listen,
		DiscoveryAddr:  file.Discovery,
		RelayAddr:      file.Store.Address,
		Seed:           seed,
		Cores:          file.Limits.Cores,
		MemoryMB:       int(file.Limits.MemoryMB),
		MaxSockets:     file.Limits.Sockets,
		KnownEndpoints: known,
		Site:           site,
	}, nil
}

// applyEnvironment sets keys that the file lacks from environment variables.
func applyEnvironment(file *platformFile, getenv func(string) string) {
	for _, fallback := range []struct {
		value    *string
		variable string
	}{
		{&file.Name, platformNameVariable},
		{&file.Listen, platformListenVariable},
		{&file.Discovery, platformDiscoveryVariable},
	} {
		if *fallback.value == "" {
			*fallback.value = getenv(fallback.variable)
		}
	}
}

// validateFile checks the limits, the addresses and that required keys are present.
func validateFile(file *platformFile) error {
	for _, address := range []struct{ key, value string }{
		{"listen", file.Listen},
		{"discovery", file.Discovery},
		{"store.address", file.Store.Address},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fmt.Errorf("key %q: is %.60q; expected IP address:port", address.key, address.value)
		}
	}
	switch {
	case file.Name == "":
		return errors.New("key \"name\" is missing and RELAY_NAME is not set")
	case !(file.Limits.MemoryMB >= minMemoryMB && file.Limits.MemoryMB < math.MaxInt32):
		return fmt.Errorf("key \"limits.memory_mb\": is %g; expected at least %d and less than %d (MiB)",
			file.Limits.MemoryMB, minMemoryMB, math.MaxInt32)
	case file.Limits.Sockets < minSockets || file.Limits.Sockets > maxSockets:
		return fmt.Errorf("key \"limits.sockets\": is %d; expected %d to %d", file.Limits.Sockets, minSockets, maxSockets)
	case len(file.Settings) == 0:
		return errors.New("key \"settings\" is missing")
	}
	return nil
}

// parseKnownEndpoints reads the endpoint list that this controller had last. It is empty if the key is missing or null.
func parseKnownEndpoints(text json.RawMessage, site fleet.Site) (discovery.EndpointList, error) {
	if len(text) == 0 || string(text) == "null" {
		return discovery.EndpointList{}, nil
	}
	source := discovery.PlatformSource{Zones: site.Zones, Kinds: site.Kinds}
	list, err := source.Decode(text)
	if err != nil {
		return discovery.EndpointList{}, err
	}
	return *list, nil
}

// validateSite rejects sites that a controller on the platform cannot serve: counts must fit the fixed widths of IDs,
// and the platform does not support slices.
func validateSite(site fleet.Site) error {
	for _, bound := range []struct {
		key      string
		value    float64
		unit     string
		min, max float64
	}{
		{"dcs", float64(len(site.Zones)), "zones", 1, math.MaxUint8},
		{"kinds", float64(len(site.Kinds)), "kinds", 0, math.MaxUint8},
		{"familyInfo.agents", float64(site.ProxyCount), "proxies", 1, math.MaxUint16 + 1},
		{"familyInfo.shards", float64(site.SliceCount), "slices", 0, 0},
		{"familyInfo.egressPerS", site.EntriesPerSecond, "entries per second", 1, maxChannelValue},
		{"familyInfo.mostWaiting", site.MaxBacklog, "entries", 1, maxChannelValue},
	} {
		if !isBetween(bound.value, bound.min, bound.max) {
			return fmt.Errorf("key %q: is %g %s; expected %g to %g", bound.key, bound.value, bound.unit, bound.min, bound.max)
		}
	}
	if err := validateNames("dcs", site.Zones); err != nil {
		return err
	}
	return validateNames("kinds", site.Kinds)
}

func validateNames(key string, names []string) error {
	for i, name := range names {
		if len(name) > maxSiteNameBytes {
			return fmt.Errorf("key \"%s[%d]\": name has %d bytes; expected at most %d", key, i, len(name), maxSiteNameBytes)
		}
	}
	return nil
}

// isBetween reports whether low <= value <= high. It is false for NaN.
func isBetween(value, low, high float64) bool { return value >= low && value <= high }
