package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuelang.org/go/cue"
)

const (
	maxClasses    = 16    // a class set is a 16-bit mask
	maxProxies    = 65000 // proxy IDs have 16 bits
	maxLoadFields = 4     // in one load report
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

// validator checks rules between fields, which the schema cannot express.
type validator struct {
	*Settings
	path     string
	document cue.Value // the parsed file, for line numbers
	errors   FieldErrors
}

func validate(settings *Settings, path string, document cue.Value) FieldErrors {
	v := &validator{Settings: settings, path: path, document: document}
	v.checkZone("zone", settings.Zone)
	v.checkClasses()
	v.checkProxies()
	v.checkList()
	v.checkReports()
	v.checkSharing()
	v.checkService()
	if v.ControllerIndex >= v.Controllers {
		v.addError("me", "is %d; expected an index from 0 to %d because \"governors\" is %d",
			v.ControllerIndex, v.Controllers-1, v.Controllers)
	}
	return v.errors
}

func (v *validator) addError(field, format string, args ...any) {
	v.errors = append(v.errors, FieldError{
		File:    v.path,
		Line:    findLine(v.document, field),
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

func (v *validator) checkZone(field, name string) {
	if !slices.Contains(v.Zones, name) {
		v.addError(field, "is %q; expected one of the zones %s", name, strings.Join(v.Zones, ", "))
	}
}

func (v *validator) checkClasses() {
	if len(v.Classes) > maxClasses {
		v.addError("classes", "has %d classes; expected at most %d", len(v.Classes), maxClasses)
	}
	names := map[string]bool{}
	backends := map[string]bool{}
	for i, class := range v.Classes {
		if names[class.Name] {
			v.addError(fmt.Sprintf("classes.%d.name", i), "duplicate class name %q; expected a unique name", class.Name)
		}
		if backends[class.Backend] {
			v.addError(fmt.Sprintf("classes.%d.backend", i), "duplicate backend %q; expected a unique backend", class.Backend)
		}
		names[class.Name] = true
		backends[class.Backend] = true
		if class.LatencyObjective > class.Deadline {
			v.addError(fmt.Sprintf("classes.%d.expected", i), "is %v; expected at most hardStop, %v",
				time.Duration(class.LatencyObjective), time.Duration(class.Deadline))
		}
		if class.Idempotency != effectSafe && v.Transport.DefaultRetry > 1 {
			v.addError("front.retryDefault", "is %d; expected 0 or 1: class %s has effect %q, "+
				"and a retry after any failure may execute its requests twice",
				v.Transport.DefaultRetry, class.Name, class.Idempotency)
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
			v.addError(field+"name", "duplicate proxy name %q; expected a unique name", proxy.Name)
		}
		if addrs[proxy.Addr] {
			v.addError(field+"addr", "duplicate proxy address %q; expected a unique address", proxy.Addr)
		}
		names[proxy.Name] = true
		addrs[proxy.Addr] = true
	}
	if len(v.Proxies) > maxProxies {
		v.addError("proxies", "has %d proxies; expected at most %d", len(v.Proxies), maxProxies)
	}
}

func (v *validator) checkList() {
	if v.List.Source == sourceFile && v.List.Path == "" {
		v.addError("list.path", "is empty; expected the path of the list file because list.source is \"file\"")
	}
	if v.List.Source == sourceHTTP && v.List.URL == "" {
		v.addError("list.url", "is empty; expected the URL of the list because list.source is \"http\"")
	}
}

func (v *validator) checkReports() {
	if len(v.Reports.LoadFields) > maxLoadFields {
		v.addError("reports.fields", "has %d load fields; expected at most %d", len(v.Reports.LoadFields), maxLoadFields)
	}
	if v.PushedLoads() && v.Reports.Listen == "" {
		v.addError("reports.listen", "is empty; expected host:port because reports.load is \"pushed\"")
	}
}

func (v *validator) checkSharing() {
	controllers := v.Sharing.Controllers
	if len(controllers) == 0 {
		return
	}
	if !slices.Contains(controllers, v.Name) {
		v.addError("sharing.governors", "is %s; expected a list that includes this controller's name, %q",
			strings.Join(controllers, ", "), v.Name)
	}
	if v.Transport.Kind != transportRuntime {
		v.addError("sharing.governors", "front.kind is %q; expected %q "+
			"because controllers coordinate through the proxies' runtime sockets", v.Transport.Kind, transportRuntime)
	}
	if len(slices.Compact(slices.Sorted(slices.Values(controllers)))) < len(controllers) {
		v.addError("sharing.governors", "is %s; expected each name once", strings.Join(controllers, ", "))
	}
}

func (v *validator) checkService() {
	if !v.ServesClients() {
		return
	}
	if v.Transport.Admission == admissionRate {
		v.addError("front.admission", "is %q; expected \"share\" or \"all\" while the service is enabled: "+
			"a rate limits each proxy, but one proxy represents all service clients of a zone", v.Transport.Admission)
	}
	if len(v.Proxies)+len(v.Zones) > maxProxies {
		v.addError("proxies", "has %d proxies; expected at most %d: "+
			"while the service is enabled, each of the %d zones counts as one more",
			len(v.Proxies), maxProxies-len(v.Zones), len(v.Zones))
	}
}
