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

// namesMost is the longest name of a zone or kind, in bytes: DNS has 253, and a collector's first message is bounded.
const namesMost = 256

// Platform is what a governor on the users' platform is told at its start: RELAY_CONFIG names a JSON file; RELAY_NAME,
// RELAY_LISTEN and RELAY_DISCOVERY stand in where the file lacks their keys.
type Platform struct {
	Name           string
	Listen         string // where proxies' collectors connect
	Discovery      string
	RelayAddr      string // the relay's address
	Seed           uint64
	Cores          float64
	MemoryMB       int
	MaxSockets     int
	KnownEndpoints discovery.EndpointList // the list as this governor last had it
	Site           fleet.Site
}

// LoadPlatform reads it. The first thing that is wrong is told, with its key.
func LoadPlatform(getenv func(string) string) (*Platform, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, errors.New("RELAY_CONFIG is not set")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, sizeMost+1))
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	if len(text) > sizeMost {
		return nil, fmt.Errorf("%s: over %d bytes", path, sizeMost)
	}
	r, err := ParsePlatform(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// ParsePlatform reads the file's text.
func ParsePlatform(text []byte, getenv func(string) string) (*Platform, error) {
	var o struct {
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
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, simwire.JSONFault(err)
	}
	for _, stand := range []struct {
		key  *string
		name string
	}{{&o.Name, "RELAY_NAME"}, {&o.Listen, "RELAY_LISTEN"}, {&o.Discovery, "RELAY_DISCOVERY"}} {
		if *stand.key == "" {
			*stand.key = getenv(stand.name)
		}
	}
	r := &Platform{Name: o.Name, Listen: o.Listen, Discovery: o.Discovery, RelayAddr: o.Store.Address,
		Cores: o.Limits.Cores, MemoryMB: int(o.Limits.MemoryMB), MaxSockets: o.Limits.Sockets}
	for _, a := range []struct{ key, addr string }{
		{"listen", r.Listen}, {"discovery", r.Discovery}, {"store.address", r.RelayAddr}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return nil, fmt.Errorf("key %s: %.60q is not address:port", a.key, a.addr)
		}
	}
	switch {
	case r.Name == "":
		return nil, errors.New("key name is missing")
	case !(o.Limits.MemoryMB >= 16 && o.Limits.MemoryMB < math.MaxInt32):
		return nil, fmt.Errorf("key limits.memory_mb: %g is not 16 or more", o.Limits.MemoryMB)
	case r.MaxSockets < 64 || r.MaxSockets > 1<<20:
		return nil, fmt.Errorf("key limits.sockets: %d is not between 64 and %d", r.MaxSockets, 1<<20)
	case len(o.Settings) == 0:
		return nil, errors.New("key settings is missing")
	}
	var err error
	if r.Seed, err = strconv.ParseUint(o.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("key seed: %.40q is not a number in hexadecimal", o.Seed)
	}
	if r.Site, err = simwire.ParseSite(o.Settings); err != nil {
		return nil, err
	}
	if err := servable(r.Site); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(o.Known) > 0 && string(o.Known) != "null" {
		p := discovery.PlatformSource{Zones: r.Site.Zones, Kinds: r.Site.Kinds}
		doc, err := p.Decode(o.Known)
		if err != nil {
			return nil, fmt.Errorf("key known: %w", err)
		}
		r.KnownEndpoints = *doc
	}
	return r, nil
}

// servable tells what of a deployment's shape can't be served: ids have their widths, and nobody would be served in slices.
func servable(s fleet.Site) error {
	for _, c := range []struct {
		key         string
		n           float64
		least, most float64
	}{
		{"dcs", float64(len(s.Zones)), 1, math.MaxUint8},
		{"kinds", float64(len(s.Kinds)), 0, math.MaxUint8},
		{"familyInfo.agents", float64(s.ProxyCount), 1, math.MaxUint16 + 1},
		{"familyInfo.shards", float64(s.SliceCount), 0, 0},
		{"familyInfo.egressPerS", s.EntriesPerSecond, 1, 1e9},
		{"familyInfo.mostWaiting", s.MaxBacklog, 1, 1e9},
	} {
		if !(c.n >= c.least && c.n <= c.most) {
			return fmt.Errorf("key %s: %g is not from %g to %g", c.key, c.n, c.least, c.most)
		}
	}
	for _, names := range []struct {
		key string
		of  []string
	}{{"dcs", s.Zones}, {"kinds", s.Kinds}} {
		for i, name := range names.of {
			if len(name) > namesMost {
				return fmt.Errorf("key %s[%d]: over %d bytes", names.key, i, namesMost)
			}
		}
	}
	return nil
}
