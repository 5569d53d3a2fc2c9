package scenario

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// outlierFailures is the number of consecutive failures after which a proxy ejects a server.
const outlierFailures = 3

// writeSettings writes a controller's settings file and sets the paths and addresses in its controllerProcess.
func (r *runner) writeSettings(index int) error {
	c := r.controllers[index]
	c.config = filepath.Join(r.dir, c.name+".json")
	c.socket = filepath.Join(r.dir, fmt.Sprintf("g%d.sock", index+1))
	c.log = filepath.Join(r.dir, c.name+".log")
	settings := r.baseSettings(index, c)
	if err := r.addOptionalSettings(settings, index, c); err != nil {
		return err
	}
	if r.AlterSettings != nil {
		r.AlterSettings(settings)
	}
	text, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.config, text, fileMode)
}

// baseSettings returns the settings that every scenario needs, in the structure of a settings file.
func (r *runner) baseSettings(index int, c *controllerProcess) map[string]any {
	spec := r.Spec
	return map[string]any{
		"name":      c.name,
		"seed":      spec.Seed + uint64(index),
		"me":        index,
		"governors": spec.Controllers,
		"zones":     spec.Zones,
		"classes":   r.classSettings(),
		"proxies":   r.proxySettings(index),
		"list": map[string]any{
			"source": "http",
			"url":    r.listService.URL + "?governor=" + c.name,
			"cache":  r.cachePath(c),
		},
		"front": map[string]any{
			"kind":         spec.Transport,
			"admission":    spec.Admission,
			"proxies":      spec.Proxies,
			"standing":     spec.InitialEntries,
			"outlierAfter": outlierFailures,
		},
		"channel": map[string]any{
			"linesPerS": spec.Channel.LinesPerS,
			"backlog":   spec.Channel.Backlog,
			"bare":      formatDuration(spec.Channel.Bare),
		},
		"servers": map[string]any{
			"coldFrom":   spec.Servers.ColdFrom,
			"coldFor":    formatDuration(spec.Servers.ColdFor),
			"fallFactor": spec.Servers.FallFactor,
			"fallFor":    formatDuration(spec.Servers.FallFor),
			"drainGrace": formatDuration(spec.Servers.Grace),
		},
		"guard":     spec.Guard,
		"faults":    spec.Faults,
		"operators": map[string]any{"socket": c.socket},
		"log":       map[string]any{"file": c.log},
	}
}

// cachePath returns the file in which a controller caches the endpoint list.
func (r *runner) cachePath(c *controllerProcess) string { return filepath.Join(r.dir, c.name+".list") }

func (r *runner) classSettings() []map[string]any {
	var classes []map[string]any
	for _, class := range r.Spec.Classes {
		classes = append(classes, map[string]any{
			"name":     class.Name,
			"effect":   class.Effect,
			"window":   formatDuration(class.Window),
			"expected": formatDuration(class.Expected),
			"hardStop": formatDuration(class.HardStop),
			"value":    class.Value,
		})
	}
	return classes
}

// proxySettings returns the proxies that a controller may serve: its own, or all if they are shared.
func (r *runner) proxySettings(index int) []map[string]any {
	var proxies []map[string]any
	for i, proxy := range r.proxies {
		if r.ownerByProxy[i] != index && !r.Spec.Sharing {
			continue
		}
		addr := proxy.Runtime
		if proxy.Folder != "" {
			addr = proxy.Folder
		}
		proxies = append(proxies, map[string]any{
			"name":   proxy.Name,
			"zone":   proxy.Zone,
			"addr":   addr,
			"visits": r.Spec.RequestRate / float64(r.Spec.Proxies),
		})
	}
	return proxies
}

// addOptionalSettings adds the settings that depend on options of the scenario.
func (r *runner) addOptionalSettings(settings map[string]any, index int, c *controllerProcess) error {
	spec := r.Spec
	if spec.Store {
		settings["store"] = map[string]any{"folder": filepath.Join(r.dir, c.name+".store")}
	}
	if spec.Peers {
		join := []string{r.controllers[0].peers, r.controllers[len(r.controllers)-1].peers}
		settings["peers"] = map[string]any{"listen": c.peers, "join": join}
	}
	if spec.Sharing {
		var names []string
		for _, other := range r.controllers {
			names = append(names, other.name)
		}
		settings["sharing"] = map[string]any{"governors": names}
	}
	if spec.ClientPrograms > 0 {
		if err := r.addServiceSettings(settings, index, c); err != nil {
			return err
		}
	}
	if spec.PushedReports {
		addr, err := freePort()
		if err != nil {
			return err
		}
		c.reports = addr
		settings["reports"] = map[string]any{"load": "pushed", "listen": addr}
		settings["front"].(map[string]any)["table"] = trackedTable
	}
	if r.RecordEvents {
		settings["records"] = filepath.Join(r.dir, c.name+".records")
	}
	return nil
}

// addServiceSettings adds the service to which client programs connect.
func (r *runner) addServiceSettings(settings map[string]any, index int, c *controllerProcess) error {
	addr, err := freePort()
	if err != nil {
		return err
	}
	c.rpc = addr
	c.text = filepath.Join(r.dir, fmt.Sprintf("s%d.sock", index+1))
	spec := r.Spec
	programs := float64(spec.ClientPrograms)
	ratePerZone := spec.RequestRate / float64(spec.Proxies+spec.ClientPrograms) * programs / float64(len(spec.Zones))
	settings["service"] = map[string]any{"rpc": c.rpc, "text": c.text, "visits": ratePerZone}
	return nil
}

// freePort returns a loopback address whose port is free at the moment. Another process may take it before it is used.
func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func formatDuration(d Duration) string { return time.Duration(d).String() }
