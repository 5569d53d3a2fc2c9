// Package config reads the settings of a controller and validates them against the schema in schema.cue, which also
// holds the defaults. A settings file may be CUE, JSON or YAML. All errors of a file are reported, each with file, line
// and field. LoadPlatform reads the configuration of a controller on the users' platform.
package config

import (
	_ "embed"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/encoding/yaml"
)

//go:embed schema.cue
var schemaSource string

// maxFileBytes bounds the size of a settings file. A file with 10,000 proxies has about 1.5 MB.
const maxFileBytes = 8 << 20

// Load reads and validates a settings file. Errors in its content are returned as FieldErrors, errors of reading the
// file as they are.
func Load(path string) (*Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return Parse(path, text)
}

// Parse is Load for text that is already in memory. Path appears in errors, and its extension selects the syntax:
// .yaml and .yml are YAML, any other is CUE, of which JSON is a subset.
func Parse(path string, text []byte) (*Settings, error) {
	if len(text) > maxFileBytes {
		return nil, FieldErrors{{File: path, Message: fmt.Sprintf("file is larger than the limit of %d bytes", maxFileBytes)}}
	}
	ctx := cuecontext.New()
	schema := ctx.CompileString(schemaSource, cue.Filename("schema.cue")).LookupPath(cue.ParsePath("#Settings"))
	if err := schema.Err(); err != nil {
		return nil, fmt.Errorf("embedded schema.cue: %w", err)
	}
	document, err := compile(ctx, path, text)
	if err != nil {
		return nil, convertErrors(path, schema, document, err)
	}
	unified := schema.Unify(document)
	if err := unified.Validate(cue.Concrete(true), cue.Final()); err != nil {
		return nil, convertErrors(path, schema, document, err)
	}
	settings := &Settings{}
	if err := unified.Decode(settings); err != nil {
		return nil, convertErrors(path, schema, document, err)
	}
	if errs := validate(settings, path, document); len(errs) > 0 {
		return nil, errs
	}
	return settings, nil
}

// compile parses the text of a file without applying the schema.
func compile(ctx *cue.Context, path string, text []byte) (cue.Value, error) {
	extension := filepath.Ext(path)
	if extension != ".yaml" && extension != ".yml" {
		document := ctx.CompileBytes(text, cue.Filename(path))
		return document, document.Err()
	}
	file, err := yaml.Extract(path, text)
	if err != nil {
		return cue.Value{}, err
	}
	document := ctx.BuildFile(file)
	return document, document.Err()
}

// FieldsRequiringRestart returns the top-level keys whose values differ between two settings and whose change requires
// a restart of the controller. It never returns records, which a running controller can change, or log, some fields of
// which it can change: the caller has to compare the fields of log.
func FieldsRequiringRestart(old, updated *Settings) (fields []string) {
	for _, field := range []struct {
		name         string
		old, updated any
	}{
		{"name", old.Name, updated.Name},
		{"seed", old.Seed, updated.Seed},
		{"me", old.ControllerIndex, updated.ControllerIndex},
		{"governors", old.Controllers, updated.Controllers},
		{"zones", old.Zones, updated.Zones},
		{"zone", old.Zone, updated.Zone},
		{"kinds", old.Kinds, updated.Kinds},
		{"classes", old.Classes, updated.Classes},
		{"proxies", old.Proxies, updated.Proxies},
		{"list", old.List, updated.List},
		{"front", old.Transport, updated.Transport},
		{"channel", old.Channel, updated.Channel},
		{"reports", old.Reports, updated.Reports},
		{"servers", old.Servers, updated.Servers},
		{"goal", old.Goal, updated.Goal},
		{"limits", old.Limits, updated.Limits},
		{"guard", old.SafetyChecks, updated.SafetyChecks},
		{"faults", old.Faults, updated.Faults},
		{"operators", old.Operators, updated.Operators},
		{"store", old.Store, updated.Store},
		{"service", old.Service, updated.Service},
		{"sharing", old.Sharing, updated.Sharing},
		{"peers", old.Peers, updated.Peers},
	} {
		if fmt.Sprint(field.old) != fmt.Sprint(field.updated) {
			fields = append(fields, field.name)
		}
	}
	return fields
}
