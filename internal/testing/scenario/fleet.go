package scenario

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cressknot/internal/testing/fakes"
)

const (
	// proxyMap and trackedTable are the names of the proxies' map and stick table.
	proxyMap     = "cressknot"
	trackedTable = "nodes"
	// proxyEjectionDuration is how long a proxy ejects a server after outlierFailures failures in a row.
	proxyEjectionDuration = 4 * time.Second

	nodeCores       = 2
	nodeQueue       = 24
	minSpeedFactor  = 0.9
	speedSpread     = 0.2
	nodeSeedFactor  = 1000
	proxySeedFactor = 2000
	// minNodesPerZone is the mean number of servers per zone from which on a proxy's initial entries are only of its zone.
	minNodesPerZone = 3
	// maxWeight is the maximum weight that the proxies' runtime API accepts.
	maxWeight = 256
)

// nodeSpeeds are the relative speeds of the servers, assigned in turn.
var nodeSpeeds = []float64{1.5, 1, 0.6}

// startFleet starts the list service, the servers, the proxies and the controllers.
func (r *runner) startFleet() error {
	listService, err := fakes.NewListService(r.watch)
	if err != nil {
		return err
	}
	r.listService = listService
	entries, err := r.startNodes()
	if err != nil {
		return err
	}
	r.listService.Put(entries...)
	r.listService.SetFrozen(r.FrozenList)
	if err := r.startProxies(entries); err != nil {
		return err
	}
	return r.startControllers()
}

// startNodes starts the simulated servers and returns their entries for the endpoint list.
func (r *runner) startNodes() ([]fakes.ListedServer, error) {
	spec := r.Spec
	work := map[string]time.Duration{}
	for _, class := range spec.Classes {
		work[class.Name] = time.Duration(class.Work)
	}
	var entries []fakes.ListedServer
	for i := range spec.Nodes {
		capacity := fakes.NodeCapacity{
			Cores:             nodeCores,
			Speed:             nodeSpeeds[i%len(nodeSpeeds)] * (minSpeedFactor + speedSpread*r.rng.Float64()),
			Queue:             nodeQueue,
			SlowStartFraction: spec.Servers.ColdFrom,
			SlowStartDuration: time.Duration(spec.Servers.ColdFor),
			OverloadFactor:    spec.Servers.FallFactor,
			OverloadWindow:    time.Duration(spec.Servers.FallFor),
			Work:              work,
		}
		node := fakes.NewNode(nodeName(i), capacity, r.watch, spec.Seed*nodeSeedFactor+uint64(i))
		if err := node.Start(); err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, node)
		r.zoneByNode[node.Name] = spec.Zones[i%len(spec.Zones)]
		entries = append(entries, r.listEntry(node, "ready"))
	}
	return entries, nil
}

func nodeName(i int) string { return fmt.Sprintf("node-%02d", i+1) }

func (r *runner) listEntry(node *fakes.Node, state string) fakes.ListedServer {
	return fakes.ListedServer{
		Name:    node.Name,
		Addr:    node.Addr,
		Zone:    r.zoneByNode[node.Name],
		State:   state,
		Started: node.Started(),
	}
}

func (r *runner) startProxies(entries []fakes.ListedServer) error {
	spec := r.Spec
	var classes []fakes.ProxyClass
	for _, class := range spec.Classes {
		classes = append(classes, fakes.ProxyClass{
			Name:           class.Name,
			Backend:        class.Name,
			Deadline:       time.Duration(class.HardStop),
			AttemptTimeout: time.Duration(class.Expected),
		})
	}
	for i := range spec.Proxies {
		zone := spec.Zones[i%len(spec.Zones)]
		setup := fakes.ProxySetup{
			Name:              fmt.Sprintf("proxy-%02d", i+1),
			Zone:              zone,
			Classes:           classes,
			Map:               proxyMap,
			Table:             trackedTable,
			EjectionThreshold: outlierFailures,
			EjectionDuration:  proxyEjectionDuration,
			EntryDelay:        time.Duration(spec.EntryDelay),
			Runtime:           filepath.Join(r.dir, fmt.Sprintf("p%d.sock", i+1)),
			Folder:            r.folder(i),
		}
		proxy := fakes.NewProxy(setup, r.initialEntries(entries, zone), r.watch, spec.Seed*proxySeedFactor+uint64(i))
		if err := proxy.Start(); err != nil {
			return err
		}
		r.proxies = append(r.proxies, proxy)
		r.zoneByProxy = append(r.zoneByProxy, zone)
	}
	return nil
}

// initialEntries draws the entries of a proxy's own configuration, from its zone if the zones have enough servers.
func (r *runner) initialEntries(entries []fakes.ListedServer, zone string) []fakes.ListedServer {
	var initial []fakes.ListedServer
	anyZone := r.Spec.Nodes < minNodesPerZone*len(r.Spec.Zones)
	for _, i := range r.rng.Perm(len(entries)) {
		entry := entries[i]
		if len(initial) < r.Spec.InitialEntries && (entry.Zone == zone || anyZone) {
			initial = append(initial, entry)
		}
	}
	return initial
}

// folder returns the folder from which a proxy reads its tables, "" if proxies don't read files.
func (r *runner) folder(i int) string {
	if r.Spec.Transport != "files" {
		return ""
	}
	return filepath.Join(r.dir, fmt.Sprintf("p%d", i+1))
}

// startControllers assigns the proxies to controllers by zone, and starts the controllers.
func (r *runner) startControllers() error {
	for i := range r.Spec.Controllers {
		r.controllers = append(r.controllers, &controllerProcess{name: fmt.Sprintf("governor-%d", i+1)})
	}
	for i, proxy := range r.proxies {
		owner := (i % len(r.Spec.Zones)) % r.Spec.Controllers
		r.ownerByProxy = append(r.ownerByProxy, owner)
		r.watch.Owner(proxy.Name, r.controllers[owner].name)
	}
	if r.Spec.Peers {
		for _, c := range r.controllers {
			addr, err := freePort()
			if err != nil {
				return err
			}
			c.peers = addr
		}
	}
	for i, c := range r.controllers {
		if err := r.writeSettings(i); err != nil {
			return err
		}
		if err := c.start(r.Launch); err != nil {
			return err
		}
	}
	return nil
}

// startReports makes servers send load reports to all controllers that accept them.
func (r *runner) startReports(ctx context.Context) {
	var urls []string
	for _, c := range r.controllers {
		if c.reports != "" {
			urls = append(urls, "http://"+c.reports+"/api/v2/write")
		}
	}
	if len(urls) == 0 {
		return
	}
	for _, node := range r.nodes {
		r.runInBackground(func() { node.Report(ctx, urls) })
	}
}

// newestNode returns the server that was started last.
func (r *runner) newestNode() *fakes.Node {
	return slices.MaxFunc(r.nodes, func(a, b *fakes.Node) int { return a.Started().Compare(b.Started()) })
}

// forceCommands repeatedly executes commands at the proxies that a broken controller would send.
func (r *runner) forceCommands(ctx context.Context) {
	if len(r.ForcedCommands) == 0 && !r.OverloadNewestNode {
		return
	}
	r.runInBackground(func() {
		for sleep(ctx, checkInterval) {
			for _, proxy := range r.proxies {
				for _, command := range r.ForcedCommands {
					proxy.Execute(strings.Fields(command)...)
				}
			}
			if r.OverloadNewestNode {
				r.overloadNewestNode()
			}
		}
	})
}

// overloadNewestNode gives all weight to the newest server during its slow start. It waits until the controllers have
// been notified of the server, since the invariant only covers commands of controllers that know of the start.
func (r *runner) overloadNewestNode() {
	newest := r.newestNode()
	age := time.Since(newest.Started())
	if newest.Started().IsZero() || age < 2*startNoticeDelay || age > time.Duration(r.Spec.Servers.ColdFor) {
		return
	}
	for _, proxy := range r.proxies {
		r.watch.Message(proxy.Name, len(r.nodes)) // recorded as a message of its controller
		for _, class := range r.Spec.Classes {
			for _, node := range r.nodes {
				target := class.Name + "/" + node.Name
				weight := 0
				if node == newest {
					weight = maxWeight
					proxy.Execute("set", "server", target, "state", "ready")
				}
				proxy.Execute("set", "server", target, "weight", fmt.Sprint(weight))
			}
		}
	}
}
