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
var days embed.FS

// Span is a time with its unit, as "2s".
type Span = config.Duration

// Trouble is one thing that goes wrong.
type Trouble struct {
	At    Span    `json:"at"`
	For   Span    `json:"for"`
	What  string  `json:"what"`
	Part  float64 `json:"part"`
	Size  float64 `json:"size"`
	Every Span    `json:"every"`
	Class string  `json:"class"`
	Push  string  `json:"push"`
}

// Day is what a day file says; day.cue has the form.
type Day struct {
	Name      string   `json:"name"`
	Seed      uint64   `json:"seed"`
	Length    Span     `json:"length"`
	Zones     []string `json:"zones"`
	Nodes     int      `json:"nodes"`
	Proxies   int      `json:"proxies"`
	Governors int      `json:"governors"`
	Libraries int      `json:"libraries"`
	Sharing   bool     `json:"sharing"`
	Peers     bool     `json:"peers"`
	Visits    float64  `json:"visits"`
	Front     string   `json:"front"`
	Admission string   `json:"admission"`
	Guard     bool     `json:"guard"`
	Faults    []string `json:"faults"`
	Standing  int      `json:"standing"`
	LineDelay Span     `json:"lineDelay"`
	Pushed    bool     `json:"pushed"`
	Store     bool     `json:"store"`
	Classes   []struct {
		Name     string  `json:"name"`
		Share    float64 `json:"share"`
		Work     Span    `json:"work"`
		Effect   string  `json:"effect"`
		Window   Span    `json:"window"`
		Expected Span    `json:"expected"`
		HardStop Span    `json:"hardStop"`
		Value    float64 `json:"value"`
	} `json:"classes"`
	Servers struct {
		ColdFrom   float64 `json:"coldFrom"`
		ColdFor    Span    `json:"coldFor"`
		FallFactor float64 `json:"fallFactor"`
		FallFor    Span    `json:"fallFor"`
		Grace      Span    `json:"grace"`
	} `json:"servers"`
	Channel struct {
		LinesPerS float64 `json:"linesPerS"`
		Backlog   float64 `json:"backlog"`
		Bare      Span    `json:"bare"`
	} `json:"channel"`
	Troubles []Trouble `json:"troubles"`
}

// Days names the days that the program holds.
func Days() (names []string) {
	all, _ := fs.Glob(days, "days/*.cue")
	for _, p := range all {
		names = append(names, strings.TrimSuffix(path.Base(p), ".cue"))
	}
	return names
}

// Load reads a day: one that the program holds, or a file.
func Load(name string) (*Day, error) {
	text, err := days.ReadFile("days/" + name + ".cue")
	if errors.Is(err, fs.ErrNotExist) {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("day %s: %w; the program holds %s", name, err, strings.Join(Days(), ", "))
	}
	ctx := cuecontext.New()
	v := ctx.CompileString(schema, cue.Filename("day.cue")).LookupPath(cue.ParsePath("#Day"))
	own := ctx.CompileBytes(text, cue.Filename(name))
	whole := v.Unify(own)
	if err := errors.Join(own.Err(), whole.Validate(cue.Concrete(true), cue.Final())); err != nil {
		return nil, fmt.Errorf("day %s:\n%s", name, cueerrors.Details(err, nil))
	}
	d := &Day{}
	if err := whole.Decode(d); err != nil {
		return nil, fmt.Errorf("day %s: %w", name, err)
	}
	return d, nil
}
