// Package scenario plays scripted days: stand-in nodes, proxies, callers and list service on loopback, real governors
// as processes of their own, and the rules judged from what passed on the sockets.
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

// Duration is a time with its unit, as "2s".
type Duration = config.Duration

// FaultSpec is one thing that goes wrong.
type FaultSpec struct {
	At    Duration    `json:"at"`
	Duration   Duration    `json:"for"`
	Kind  string  `json:"what"`
	Fraction  float64 `json:"part"`
	Size  float64 `json:"size"`
	Interval Duration    `json:"every"`
	Class string  `json:"class"`
	Push  string  `json:"push"`
}

// Spec is what a day file says; day.cue has the form.
type Spec struct {
	Name      string   `json:"name"`
	Seed      uint64   `json:"seed"`
	Length    Duration     `json:"length"`
	Zones     []string `json:"zones"`
	Nodes     int      `json:"nodes"`
	Proxies   int      `json:"proxies"`
	Controllers int      `json:"governors"`
	ClientPrograms int      `json:"libraries"`
	Sharing   bool     `json:"sharing"`
	Peers     bool     `json:"peers"`
	RequestRate    float64  `json:"visits"`
	Transport     string   `json:"front"`
	Admission string   `json:"admission"`
	Guard     bool     `json:"guard"`
	Faults    []string `json:"faults"`
	InitialEntries  int      `json:"standing"`
	EntryDelay Duration     `json:"lineDelay"`
	PushedReports    bool     `json:"pushed"`
	Store     bool     `json:"store"`
	Classes   []struct {
		Name     string  `json:"name"`
		Share    float64 `json:"share"`
		Work     Duration    `json:"work"`
		Effect   string  `json:"effect"`
		Window   Duration    `json:"window"`
		Expected Duration    `json:"expected"`
		HardStop Duration    `json:"hardStop"`
		Value    float64 `json:"value"`
	} `json:"classes"`
	Servers struct {
		ColdFrom   float64 `json:"coldFrom"`
		ColdFor    Duration    `json:"coldFor"`
		FallFactor float64 `json:"fallFactor"`
		FallFor    Duration    `json:"fallFor"`
		Grace      Duration    `json:"grace"`
	} `json:"servers"`
	Channel struct {
		LinesPerS float64 `json:"linesPerS"`
		Backlog   float64 `json:"backlog"`
		Bare      Duration    `json:"bare"`
	} `json:"channel"`
	FaultSpecs []FaultSpec `json:"troubles"`
}

// Names names the days that the program holds.
func Names() (names []string) {
	all, _ := fs.Glob(specFiles, "days/*.cue")
	for _, p := range all {
		names = append(names, strings.TrimSuffix(path.Base(p), ".cue"))
	}
	return names
}

// Load reads a day: one that the program holds, or a file.
func Load(name string) (*Spec, error) {
	text, err := specFiles.ReadFile("days/" + name + ".cue")
	if errors.Is(err, fs.ErrNotExist) {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("day %s: %w; the program holds %s", name, err, strings.Join(Names(), ", "))
	}
	ctx := cuecontext.New()
	v := ctx.CompileString(schema, cue.Filename("day.cue")).LookupPath(cue.ParsePath("#Day"))
	own := ctx.CompileBytes(text, cue.Filename(name))
	whole := v.Unify(own)
	if err := errors.Join(own.Err(), whole.Validate(cue.Concrete(true), cue.Final())); err != nil {
		return nil, fmt.Errorf("day %s:\n%s", name, cueerrors.Details(err, nil))
	}
	d := &Spec{}
	if err := whole.Decode(d); err != nil {
		return nil, fmt.Errorf("day %s: %w", name, err)
	}
	return d, nil
}
