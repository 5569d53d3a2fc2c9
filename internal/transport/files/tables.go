package files

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
)

const (
	tablesType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	maxPort    = 65535
)

// Health states of an endpoint.
const (
	healthReady       = "HEALTHY"
	healthMaintenance = "UNHEALTHY"
	healthDraining    = "DRAINING"
)

// Endpoint is one entry of the weight table of a class.
type Endpoint struct {
	Name   string
	Addr   string // host:port
	Health string // HEALTHY, DRAINING or UNHEALTHY
	Weight int    // 1 to 256
}

// Tables is the content of TablesFile: table entries by backend.
type Tables struct {
	Version  string
	Backends map[string][]Endpoint
}

type assignment struct {
	Type      string     `json:"@type"`
	Cluster   string     `json:"cluster_name"`
	Endpoints []locality `json:"endpoints"`
}

type locality struct {
	Endpoints []localityEndpoint `json:"lb_endpoints"`
}

type localityEndpoint struct {
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

// EncodeTables returns the content of TablesFile. Backends and entries are sorted by name, so that equal tables give
// equal bytes.
func EncodeTables(t Tables) ([]byte, error) {
	r := response{Version: t.Version, Resources: []json.RawMessage{}}
	for _, backend := range slices.Sorted(maps.Keys(t.Backends)) {
		group, err := encodeEndpoints(t.Backends[backend])
		if err != nil {
			return nil, err
		}
		text, err := json.Marshal(assignment{tablesType, backend, []locality{group}})
		if err != nil {
			return nil, err
		}
		r.Resources = append(r.Resources, text)
	}
	return encodeResponse(r)
}

func encodeEndpoints(entries []Endpoint) (locality, error) {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	group := locality{Endpoints: []localityEndpoint{}}
	for _, entry := range sorted {
		host, portText, err := net.SplitHostPort(entry.Addr)
		if err != nil {
			return locality{}, fmt.Errorf("server %s: %w", entry.Name, err)
		}
		port, err := strconv.Atoi(portText)
		if err != nil {
			return locality{}, fmt.Errorf("server %s: port %q: %w", entry.Name, portText, err)
		}
		group.Endpoints = append(group.Endpoints, localityEndpoint{
			Endpoint: endpoint{Address: address{socketAddress{host, port}}, Hostname: entry.Name},
			Health:   entry.Health,
			Weight:   entry.Weight,
		})
	}
	return group, nil
}

// DecodeTables parses the content of TablesFile. Errors name the file and the invalid resource.
func DecodeTables(text []byte) (Tables, error) {
	var r response
	if err := decodeJSON(TablesFile, text, &r); err != nil {
		return Tables{}, err
	}
	t := Tables{Version: r.Version, Backends: map[string][]Endpoint{}}
	for i, raw := range r.Resources {
		place := fmt.Sprintf("%s: resources[%d]", TablesFile, i)
		var a assignment
		if err := json.Unmarshal(raw, &a); err != nil {
			return Tables{}, fmt.Errorf("%s: %w", place, err)
		}
		if a.Type != tablesType || a.Cluster == "" {
			return Tables{}, fmt.Errorf("%s: got type %.80q and cluster_name %.80q, want type %q and a cluster_name",
				place, a.Type, a.Cluster, tablesType)
		}
		entries, err := decodeEndpoints(place, a.Endpoints)
		if err != nil {
			return Tables{}, err
		}
		t.Backends[a.Cluster] = entries
	}
	return t, nil
}

func decodeEndpoints(place string, groups []locality) ([]Endpoint, error) {
	entries := []Endpoint{}
	for _, group := range groups {
		for i, e := range group.Endpoints {
			socket := e.Endpoint.Address.Socket
			if e.Endpoint.Hostname == "" || e.Weight < 1 || socket.Port < 1 || socket.Port > maxPort {
				return nil, fmt.Errorf("%s.endpoints[%d]: hostname %.80q, weight %d, port %d: "+
					"want a hostname, a weight of at least 1 and a port from 1 to %d",
					place, i, e.Endpoint.Hostname, e.Weight, socket.Port, maxPort)
			}
			entries = append(entries, Endpoint{
				Name:   e.Endpoint.Hostname,
				Addr:   net.JoinHostPort(socket.Address, strconv.Itoa(socket.Port)),
				Health: e.Health,
				Weight: e.Weight,
			})
		}
	}
	return entries, nil
}
