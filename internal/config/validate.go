package config

import (
	"fmt"
	"slices"
	"strings"

	"cuelang.org/go/cue"
)

const (
	maxClasses    = 16    // bits of a class set
	maxProxies    = 65000 // ids of proxies have 16 bits
	maxLoadFields = 4     // of a load report
)

// Values of settings that are compared in more than one place.
const (
	sourceFile       = "file"
	sourceHTTP       = "http"
	transportRuntime = "runtime"
	effectSafe       = "safe"
	admissionRate    = "rate"
	loadPushed       = "pushed"
)

// validator finds what a schema can't say.
type validator struct {
	*Settings
	path   string
	own    cue.Value // of the file, for lines
	faults FieldErrors
}

func validate(settings *Settings, path string, own cue.Value) FieldErrors {
	v := &validator{Settings: settings, path: path, own: own}
	v.checkZone("zone", settings.Zone)
	v.checkClasses()
	v.checkProxies()
	v.checkList()
	v.checkReports()
	v.checkSharing()
	v.checkService()
	if v.ControllerIndex >= v.Controllers {
		v.reject("me", "is %d of %d governors, counted from 0", v.ControllerIndex, v.Controllers)
	}
	return v.faults
}

func (v *validator) reject(field, format string, args ...any) {
	v.faults = append(v.faults, FieldError{
		File:    v.path,
		Line:    lineOf(v.own, field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

func (v *validator) checkZone(field, name string) {
	if !slices.Contains(v.Zones, name) {
		v.reject(field, "%q is none of the zones %s", name, strings.Join(v.Zones, ", "))
	}
}

func (v *validator) checkClasses() {
	if len(v.Classes) > maxClasses {
		v.reject("classes", "has %d classes, %d are the most", len(v.Classes), maxClasses)
	}
	names := map[string]bool{}
	backends := map[string]bool{}
	for i, class := range v.Classes {
		if names[class.Name] {
			v.reject(fmt.Sprintf("classes.%d.name", i), "%q names two classes", class.Name)
		}
		if backends[class.Backend] {
			v.reject(fmt.Sprintf("classes.%d.backend", i), "%q is the backend of two classes", class.Backend)
		}
		names[class.Name] = true
		backends[class.Backend] = true
		if class.LatencyObjective > class.Deadline {
			v.reject(fmt.Sprintf("classes.%d.expected", i), "is longer than the hard stop")
		}
		if class.Idempotency != effectSafe && v.Transport.DefaultRetry > 1 {
			v.reject("front.retryDefault", "%d would run a visit of class %s twice", v.Transport.DefaultRetry, class.Name)
		}
	}
}

func (v *validator) checkProxies() {
	names := map[string]bool{}
	addrs := map[string]bool{}
	for i, proxy := range v.Proxies {
		field := fmt.Sprintf("proxies.%d.", i)
		v.checkZone(field+"zone", proxy.Zone)
		if names[proxy.Name] {
			v.reject(field+"name", "%q names two proxies", proxy.Name)
		}
		if addrs[proxy.Addr] {
			v.reject(field+"addr", "%q is the address of two proxies", proxy.Addr)
		}
		names[proxy.Name] = true
		addrs[proxy.Addr] = true
	}
	if len(v.Proxies) > maxProxies {
		v.reject("proxies", "has %d proxies, %d are the most", len(v.Proxies), maxProxies)
	}
}

func (v *validator) checkList() {
	if v.List.Source == sourceFile && v.List.Path == "" {
		v.reject("list.path", "is needed for a list from a file")
	}
	if v.List.Source == sourceHTTP && v.List.URL == "" {
		v.reject("list.url", "is needed for a list over HTTP")
	}
}

func (v *validator) checkReports() {
	if len(v.Reports.LoadFields) > maxLoadFields {
		v.reject("reports.fields", "has %d figures, %d are the most", len(v.Reports.LoadFields), maxLoadFields)
	}
	if v.PushedLoads() && v.Reports.Listen == "" {
		v.reject("reports.listen", "is needed where load figures are pushed")
	}
}

func (v *validator) checkSharing() {
	controllers := v.Sharing.Controllers
	if len(controllers) == 0 {
		return
	}
	if !slices.Contains(controllers, v.Name) {
		v.reject("sharing.governors", "does not name this governor, %q", v.Name)
	}
	if v.Transport.Kind != transportRuntime {
		v.reject("sharing.governors", "governors agree at runtime sockets; front.kind is %q", v.Transport.Kind)
	}
	if len(slices.Compact(slices.Sorted(slices.Values(controllers)))) < len(controllers) {
		v.reject("sharing.governors", "names one twice")
	}
}

func (v *validator) checkService() {
	if !v.ServesClients() {
		return
	}
	if v.Transport.Admission == admissionRate {
		v.reject("front.admission", "is a rate at each proxy; the programs that the service serves are many "+
			"in place of one: use \"share\" or \"all\"")
	}
	if len(v.Proxies)+len(v.Zones) > maxProxies {
		v.reject("proxies", "has %d proxies beside the zones that the service serves, %d are the most",
			len(v.Proxies), maxProxies)
	}
}
