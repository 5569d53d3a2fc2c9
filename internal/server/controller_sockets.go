package server

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"cressknot/internal/clock"
	"cressknot/internal/controller"
	"cressknot/internal/fleet"
	"cressknot/internal/gossip"
	"cressknot/internal/ingest/push"
	"cressknot/internal/membership"
	"cressknot/internal/service"
	"cressknot/internal/service/rpc"
	"cressknot/internal/service/text"
	"cressknot/internal/transport"
)

// joinPeers starts gossip with other controllers if it is configured.
func (p *controllerProcess) joinPeers() error {
	if p.settings.Peers.Listen == "" {
		return nil
	}
	p.core.BeginEpoch(uint64(time.Now().UnixNano()))
	p.core.EnableGossip(p.settings.Name)
	options, err := p.membershipOptions()
	if err != nil {
		return err
	}
	members, err := membership.Start(options)
	if err != nil {
		return err
	}
	p.onClose(func() { _ = members.Close() }) // peers detect a member that has stopped
	p.options.SendGossip = members.Send
	p.log.Info().Str("addr", p.settings.Peers.Listen).Bool("encrypted", p.settings.Peers.KeyFile != "").
		Msg("gossip started")
	return nil
}

// membershipOptions returns options that pass messages, membership changes and errors to the control loop. Those that
// arrive before the loop exists are dropped.
func (p *controllerProcess) membershipOptions() (membership.Options, error) {
	s := p.settings
	options := membership.Options{
		Name:        s.Name,
		Listen:      s.Peers.Listen,
		Join:        s.Peers.Join,
		Connections: p.connections,
	}
	if s.Peers.KeyFile != "" {
		encoded, err := os.ReadFile(s.Peers.KeyFile)
		if err != nil {
			return options, fmt.Errorf("peers.keyFile: %w", err)
		}
		options.Key, err = hex.DecodeString(strings.TrimSpace(string(encoded)))
		if err != nil {
			return options, fmt.Errorf("peers.keyFile: %s: expected a key in hexadecimal: %w", s.Peers.KeyFile, err)
		}
	}
	notice := func(level controller.Level, text string) {
		if loop := p.currentLoop(); loop != nil {
			loop.LogNotice(level, "peers", text)
		}
	}
	options.OnMessage = func(message gossip.Message) {
		if loop := p.currentLoop(); loop != nil {
			loop.ReceiveGossip(message)
		}
	}
	options.OnError = func(err error) { notice(controller.LevelWarn, err.Error()) }
	options.OnChange = func(name string, joined bool) {
		if joined {
			notice(controller.LevelInfo, fmt.Sprintf("controller %s joined", name))
		} else {
			notice(controller.LevelInfo, fmt.Sprintf("controller %s left", name))
		}
	}
	return options, nil
}

// buildServiceHub creates the hub if the service is configured. The controller treats the clients of each zone as one
// proxy, whose transport is the hub.
func (p *controllerProcess) buildServiceHub() {
	if len(p.clientProxies) == 0 {
		return
	}
	wallClock := clock.New()
	options := service.HubOptions{
		Controller: p.settings.Name,
		Names:      p.names,
		Classes:    p.site.Classes,
		Now:        wallClock.Now,
	}
	for _, proxy := range p.clientProxies {
		options.Zones = append(options.Zones, service.Zone{
			Name:        p.settings.Zones[proxy.Zone],
			ID:          proxy.Zone,
			Proxy:       proxy.ID,
			RequestRate: proxy.RequestRate,
		})
	}
	p.core.SetClientZones(options.Zones)
	p.core.BeginEpoch(uint64(wallClock.Now()))
	options.Epoch = p.core.Epoch()
	p.hub = service.NewHub(options)
	mux := &transport.Mux{Default: p.options.Transport, ByProxy: map[fleet.ProxyID]transport.Transport{}}
	for _, proxy := range p.clientProxies {
		mux.ByProxy[proxy.ID] = p.hub
	}
	p.options.Transport = mux
	p.options.OnPublishedState = p.hub.PublishState
}

// listenForClients opens the sockets of the service, if it is configured.
func (p *controllerProcess) listenForClients() error {
	if p.hub == nil {
		return nil
	}
	clientService := service.New(p.hub, controller.QueryHandler{Loop: p.currentLoop(), Program: Version})
	clientService.Connections = p.connections
	var servers []interface{ Close(context.Context) error }
	p.onClose(func() {
		ctx, cancel := p.stopContext()
		defer cancel()
		_ = p.hub.Stop(ctx) // watches end first, so that their clients reconnect to another controller
		for _, server := range servers {
			_ = server.Close(ctx) // requests still running at the timeout are aborted
		}
	})
	if addr := p.settings.Service.RPC; addr != "" {
		server, err := rpc.Listen(addr, clientService)
		if err != nil {
			return err
		}
		servers = append(servers, server)
		p.log.Info().Str("addr", server.Addr()).Msg("gRPC service listening")
	}
	if addr := p.settings.Service.Text; addr != "" {
		server, err := text.Listen(addr, clientService)
		if err != nil {
			return err
		}
		servers = append(servers, server)
		p.log.Info().Str("addr", server.Addr()).Msg("text protocol service listening")
	}
	return nil
}

// listenForReports opens the socket to which servers push load reports, if it is configured.
func (p *controllerProcess) listenForReports() error {
	addr := p.settings.Reports.Listen
	if addr == "" {
		return nil
	}
	schema := push.Schema{LoadFields: p.settings.Reports.LoadFields, Lookup: p.names.ServerBytes}
	server, err := push.Listen(addr, p.currentLoop(), schema, p.connections)
	if err != nil {
		return err
	}
	p.log.Info().Str("addr", server.Addr()).Msg("listening for load reports")
	p.onClose(func() {
		ctx, cancel := p.stopContext()
		defer cancel()
		_ = server.Close(ctx) // requests still running at the timeout are aborted
	})
	return nil
}
