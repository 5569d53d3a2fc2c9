package client

import (
	"math"
	"math/rand/v2"

	"cressknot/internal/fleet"
	"cressknot/internal/service"
)

// maxDraws is the number of weighted draws before servers are searched one by one: if that many draws find none that is
// usable, nearly all are ejected.
const maxDraws = 8

// routingTable routes requests. It is immutable.
type routingTable struct {
	classes []classTable // by position
}

// classTable is an alias table (Vose's method): a weighted draw takes constant time for any number of servers.
type classTable struct {
	servers        []*Server
	thresholds     []uint32 // by position: draws up to it select the server at the position, others its alias
	aliases        []int32
	admissionLimit int // requests admitted per admissionUnit; negative: no limit
	retry          fleet.RetryMode
	known          bool // false: the cache has no table of the class
}

// newClassTable builds the table of a class; resolve returns the Server for a name and address.
func newClassTable(class classEndpoints, resolve func(name, addr string) *Server) classTable {
	count := len(class.endpoints)
	t := classTable{
		admissionLimit: class.admissionLimit,
		retry:          class.retry,
		known:          true,
		thresholds:     make([]uint32, count),
		aliases:        make([]int32, count),
	}
	for _, endpoint := range class.endpoints {
		t.servers = append(t.servers, resolve(endpoint.Server, endpoint.Addr))
	}
	scaled := scaledWeights(class.endpoints)
	var small, large []int32
	for i, weight := range scaled {
		if weight < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s := small[len(small)-1]
		l := large[len(large)-1]
		small = small[:len(small)-1]
		t.thresholds[s] = uint32(scaled[s] * math.MaxUint32)
		t.aliases[s] = l
		scaled[l] -= 1 - scaled[s]
		if scaled[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		t.thresholds[i] = math.MaxUint32
		t.aliases[i] = i
	}
	return t
}

// scaledWeights returns the weights scaled to a mean of 1.
func scaledWeights(endpoints []service.Endpoint) []float64 {
	sum := 0
	for _, endpoint := range endpoints {
		sum += endpoint.Weight
	}
	scaled := make([]float64, len(endpoints))
	for i, endpoint := range endpoints {
		scaled[i] = float64(endpoint.Weight) * float64(len(endpoints)) / float64(sum)
	}
	return scaled
}

// draw returns a random server, weighted.
func (t *classTable) draw() *Server {
	random := rand.Uint64()
	i := (random >> 32) * uint64(len(t.servers)) >> 32
	if uint32(random) > t.thresholds[i] {
		i = uint64(t.aliases[i])
	}
	return t.servers[i]
}

// pick returns a random server, weighted. It returns an ejected server or the excluded one only if there is no other;
// excluded may be nil.
func (t *classTable) pick(now func() int64, excluded *Server) *Server {
	server := t.draw()
	if server != excluded && server.ejectedUntil.Load() == 0 {
		return server
	}
	at := now()
	usable := func(s *Server) bool { return s != excluded && s.ejectedUntil.Load() <= at }
	for range maxDraws {
		if usable(server) {
			return server
		}
		server = t.draw()
	}
	start := rand.IntN(len(t.servers))
	for offset := range t.servers {
		if s := t.servers[(start+offset)%len(t.servers)]; usable(s) {
			return s
		}
	}
	return t.drawOther(excluded)
}

// drawOther returns a server other than the excluded one where possible. It is used when all others are ejected, so
// that each request gets a server.
func (t *classTable) drawOther(excluded *Server) *Server {
	server := t.draw()
	for range maxDraws - 1 {
		if server != excluded {
			return server
		}
		server = t.draw()
	}
	return server
}
