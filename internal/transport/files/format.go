package files

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"

	"cressknot/internal/transport"
)

// Names of the files in a proxy's folder. The governor writes the first two, the proxy the others; every one is written
// aside and renamed, so that no reader ever sees a part of one.
const (
	TablesFile = "eds.json"  // endpoints of all classes, as an xDS DiscoveryResponse of ClusterLoadAssignments
	LevelsFile = "rtds.json" // levels, as a DiscoveryResponse of one Runtime layer
	AckFile    = "ack.json"  // which of them the proxy goes by
	HeldFile   = "held.json" // the tables that it holds, in the form of the first: its standing ones at its start
	StatFile   = "stat.csv"  // its counters, as "show stat" prints them
	NodesFile  = "nodes.txt" // what answers told, as "show table" prints it
	sizeMost   = 64 << 20    // bytes of any of them
	asideMark  = ".aside-"   // in the names of files that are not renamed yet
	layer      = "cressknot" // name of the runtime layer
	edsType    = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	rtdsType   = "type.googleapis.com/envoy.service.runtime.v3.Runtime"
	healthIn   = "HEALTHY"
	healthSick = "UNHEALTHY"
	healthEnds = "DRAINING"
)

// Endpoint is one line of a class's table.
type Endpoint struct {
	Name   string
	Addr   string // host:port
	Health string // HEALTHY, DRAINING or UNHEALTHY
	Weight int    // 1 to 256
}

// Tables is what the tables' file holds: lines by backend.
type Tables struct {
	Version  string
	Backends map[string][]Endpoint
}

type response struct {
	Version   string            `json:"version_info"`
	Resources []json.RawMessage `json:"resources"`
}

type assignment struct {
	Type      string     `json:"@type"`
	Cluster   string     `json:"cluster_name"`
	Endpoints []locality `json:"endpoints"`
}

type locality struct {
	Endpoints []lbEndpoint `json:"lb_endpoints"`
}

type lbEndpoint struct {
	Endpoint endpoint `json:"endpoint"`
	Health   string   `json:"health_status"`
	Weight   int      `json:"load_balancing_weight"`
}

type endpoint struct {
	Address  address `json:"address"`
	Hostname string  `json:"hostname"`
}

type address struct {
	Socket socketAddress `json:"socket_address"`
}

type socketAddress struct {
	Address string `json:"address"`
	Port    int    `json:"port_value"`
}

type runtimeLayer struct {
	Type  string         `json:"@type"`
	Name  string         `json:"name"`
	Layer map[string]any `json:"layer"`
}

// EncodeTables writes the tables' file. Lines are in order of their names, so that the same tables give the same
// bytes.
func EncodeTables(t Tables) ([]byte, error) {
	r := response{Version: t.Version, Resources: []json.RawMessage{}}
	var names []string
	for name := range t.Backends {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		lines := slices.Clone(t.Backends[name])
		slices.SortFunc(lines, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
		all := locality{Endpoints: []lbEndpoint{}}
		for _, l := range lines {
			host, port, err := net.SplitHostPort(l.Addr)
			if err != nil {
				return nil, fmt.Errorf("server %s: %w", l.Name, err)
			}
			n, err := strconv.Atoi(port)
			if err != nil {
				return nil, fmt.Errorf("server %s: port %q: %w", l.Name, port, err)
			}
			all.Endpoints = append(all.Endpoints, lbEndpoint{endpoint{address{socketAddress{host, n}}, l.Name}, l.Health, l.Weight})
		}
		text, err := json.Marshal(assignment{edsType, name, []locality{all}})
		if err != nil {
			return nil, err
		}
		r.Resources = append(r.Resources, text)
	}
	return encode(r)
}

func encode(r response) ([]byte, error) {
	text, err := json.Marshal(r)
	return append(text, '\n'), err
}

func decode(file string, text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("%s: byte %d: %w", file, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%s: byte %d: more after its end", file, d.InputOffset())
	}
	return nil
}

// DecodeTables reads the tables' file.
func DecodeTables(text []byte) (Tables, error) {
	var r response
	if err := decode(TablesFile, text, &r); err != nil {
		return Tables{}, err
	}
	t := Tables{Version: r.Version, Backends: map[string][]Endpoint{}}
	for i, raw := range r.Resources {
		var a assignment
		if err := json.Unmarshal(raw, &a); err != nil {
			return Tables{}, fmt.Errorf("%s: resources[%d]: %w", TablesFile, i, err)
		}
		if a.Type != edsType || a.Cluster == "" {
			return Tables{}, fmt.Errorf("%s: resources[%d]: is no named %s", TablesFile, i, edsType)
		}
		lines := []Endpoint{}
		for _, l := range a.Endpoints {
			for j, e := range l.Endpoints {
				at := e.Endpoint.Address.Socket
				if e.Endpoint.Hostname == "" || e.Weight < 1 || at.Port < 1 || at.Port > 65535 {
					return Tables{}, fmt.Errorf("%s: resources[%d].endpoints[%d]: wants a hostname, a weight from 1 and a port",
						TablesFile, i, j)
				}
				lines = append(lines, Endpoint{e.Endpoint.Hostname, net.JoinHostPort(at.Address, strconv.Itoa(at.Port)), e.Health, e.Weight})
			}
		}
		t.Backends[a.Cluster] = lines
	}
	return t, nil
}

// EncodeLevels writes the levels' file, with the versions of the classes' tables.
func EncodeLevels(version string, levels map[string]int, stamps map[string]string) ([]byte, error) {
	all := map[string]any{}
	for k, v := range levels {
		all[k] = v
	}
	for class, stamp := range stamps {
		all[class+transport.VersionKey] = stamp
	}
	text, err := json.Marshal(runtimeLayer{rtdsType, layer, all})
	if err != nil {
		return nil, err
	}
	return encode(response{version, []json.RawMessage{text}})
}

// DecodeLevels reads it.
func DecodeLevels(text []byte) (version string, levels map[string]int, stamps map[string]string, err error) {
	var r response
	if err := decode(LevelsFile, text, &r); err != nil {
		return "", nil, nil, err
	}
	var l runtimeLayer
	if len(r.Resources) != 1 {
		return "", nil, nil, fmt.Errorf("%s: has %d resources, not one", LevelsFile, len(r.Resources))
	}
	if err := json.Unmarshal(r.Resources[0], &l); err != nil {
		return "", nil, nil, fmt.Errorf("%s: resources[0]: %w", LevelsFile, err)
	}
	if l.Type != rtdsType {
		return "", nil, nil, fmt.Errorf("%s: resources[0]: is no %s", LevelsFile, rtdsType)
	}
	levels, stamps = map[string]int{}, map[string]string{}
	for k, v := range l.Layer {
		class, isVersion := strings.CutSuffix(k, transport.VersionKey)
		switch v := v.(type) {
		case string:
			if isVersion {
				stamps[class] = v
			}
		case float64:
			levels[k] = int(v)
		default:
			return "", nil, nil, fmt.Errorf("%s: resources[0].layer.%s: is neither number nor text", LevelsFile, k)
		}
	}
	return r.Version, levels, stamps, nil
}

// Ack is what a proxy says that it holds.
type Ack struct {
	Proxy   string `json:"proxy"`
	Started string `json:"started"` // tells one run of the proxy from another
	Tables  string `json:"tables"`  // version of the tables that it goes by, "" for its standing ones
	Levels  string `json:"levels"`
	Error   string `json:"error,omitempty"` // why a newer file was not taken
}

// DecodeAck reads an acknowledgement.
func DecodeAck(text []byte) (Ack, error) {
	var a Ack
	if err := decode(AckFile, text, &a); err != nil {
		return a, err
	}
	if a.Proxy == "" || a.Started == "" {
		return a, fmt.Errorf("%s: wants proxy and started", AckFile)
	}
	return a, nil
}
