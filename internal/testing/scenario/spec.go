// Package scenario runs fault scenarios: simulated servers, proxies, callers and list service on loopback, with each
// controller as a real, separate process. The invariants are checked by the traffic on the simulated parts' sockets.
// Servers are called nodes in scenario files and in identifiers.
package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cueerrors "cuelang.org/go/cue/errors"

	"cressknot/internal/config"
)

//go:embed day.cue
var schema string

//go:embed days/*.cue
var specFiles embed.FS

// Duration is a time.Duration that is written with its unit, for example "2s".
type Duration = config.Duration

// FaultSpec is one fault of a scenario; #Trouble in day.cue describes its fields. Zero values of Fraction and Size mean
// one part and the default size of the kind.
type FaultSpec struct {
	At       Duration `json:"at"`
	Duration Duration `json:"for"`
	Kind     string   `json:"what"`
	Fraction float64  `json:"part"`
	Size     float64  `json:"size"`
	Interval Duration `json:"every"`
	Class    string   `json:"class"`
	Push     string   `json:"push"`
}

// Spec is the content of a scenario file. #Day in day.cue describes its fields and defaults.
type Spec struct {
	Name           string   `json:"name"`
	Seed           uint64   `json:"seed"`
	Length         Duration `json:"length"`
	Zones          []string `json:"zones"`
	Nodes          int      `json:"nodes"`
	Proxies        int      `json:"proxies"`
	Controllers    int      `json:"governors"`
	ClientPrograms int      `json:"libraries"`
	Sharing        bool     `json:"sharing"`
	Peers          bool     `json:"peers"`
	RequestRate    float64  `json:"visits"`
	Transport      string   `json:"front"`
	Admission      string   `json:"admission"`
	Guard          bool     `json:"guard"`
	Faults         []string `json:"faults"`
	InitialEntries int      `json:"standing"`
	EntryDelay     Duration `json:"lineDelay"`
	PushedReports  bool     `json:"pushed"`
	Store          bool     `json:"store"`
	Classes        []struct {
		Name     string   `json:"name"`
		Share    float64  `json:"share"`
		Work     Duration `json:"work"`
		Effect   string   `json:"effect"`
		Window   Duration `json:"window"`
		Expected Duration `json:"expected"`
		HardStop Duration `json:"hardStop"`
		Value    float64  `json:"value"`
	} `json:"classes"`
	Servers struct {
		ColdFrom   float64  `json:"coldFrom"`
		ColdFor    Duration `json:"coldFor"`
		FallFactor float64  `json:"fallFactor"`
		FallFor    Duration `json:"fallFor"`
		Grace      Duration `json:"grace"`
	} `json:"servers"`
	Channel struct {
		LinesPerS float64  `json:"linesPerS"`
		Backlog   float64  `json:"backlog"`
		Bare      Duration `json:"bare"`
	} `json:"channel"`
	FaultSpecs []FaultSpec `json:"troubles"`
}

// Names returns the names of the built-in scenarios.
func Names() []string {
	var names []string
	paths, _ := fs.Glob(specFiles, "days/*.cue") // the pattern is valid
	for _, file := range paths {
		names = append(names, strings.TrimSuffix(path.Base(file), ".cue"))
	}
	return names
}

// Load reads the built-in scenario of a name or, if there is none, the scenario file at that path. The content must
// satisfy the schema in day.cue.
func Load(name string) (*Spec, error) {
	text, err := specFiles.ReadFile("days/" + name + ".cue")
	if errors.Is(err, fs.ErrNotExist) {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w; built-in scenarios: %s", name, err, strings.Join(Names(), ", "))
	}
	ctx := cuecontext.New()
	form := ctx.CompileString(schema, cue.Filename("day.cue")).LookupPath(cue.ParsePath("#Day"))
	content := ctx.CompileBytes(text, cue.Filename(name))
	complete := form.Unify(content)
	if err := errors.Join(content.Err(), complete.Validate(cue.Concrete(true), cue.Final())); err != nil {
		return nil, fmt.Errorf("scenario %s:\n%s", name, cueerrors.Details(err, nil))
	}
	spec := &Spec{}
	if err := complete.Decode(spec); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return spec, nil
}
