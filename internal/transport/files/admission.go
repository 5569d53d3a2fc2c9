package files

import (
	"encoding/json"
	"fmt"
	"strings"

	"cressknot/internal/transport"
)

const (
	runtimeType = "type.googleapis.com/envoy.service.runtime.v3.Runtime"
	// runtimeLayerName is the name of the runtime layer that holds the admission limits.
	runtimeLayerName = "cressknot"
)

// Admissions is the content of AdmissionFile.
type Admissions struct {
	Version string
	Values  map[string]int    // admission limits and retry modes, by the keys of package transport
	Stamps  map[string]string // version and digest of the weight table, by class
}

type runtimeLayer struct {
	Type  string         `json:"@type"`
	Name  string         `json:"name"`
	Layer map[string]any `json:"layer"` // values are numbers or strings
}

// EncodeAdmissions returns the content of AdmissionFile.
func EncodeAdmissions(a Admissions) ([]byte, error) {
	layer := map[string]any{}
	for key, value := range a.Values {
		layer[key] = value
	}
	for class, stamp := range a.Stamps {
		layer[class+transport.VersionKeySuffix] = stamp
	}
	text, err := json.Marshal(runtimeLayer{runtimeType, runtimeLayerName, layer})
	if err != nil {
		return nil, err
	}
	return encodeResponse(response{a.Version, []json.RawMessage{text}})
}

// DecodeAdmissions parses the content of AdmissionFile. Errors name the file and the invalid field.
func DecodeAdmissions(text []byte) (Admissions, error) {
	var r response
	if err := decodeJSON(AdmissionFile, text, &r); err != nil {
		return Admissions{}, err
	}
	if len(r.Resources) != 1 {
		return Admissions{}, fmt.Errorf("%s: got %d resources, want 1", AdmissionFile, len(r.Resources))
	}
	var layer runtimeLayer
	if err := json.Unmarshal(r.Resources[0], &layer); err != nil {
		return Admissions{}, fmt.Errorf("%s: resources[0]: %w", AdmissionFile, err)
	}
	if layer.Type != runtimeType {
		return Admissions{}, fmt.Errorf("%s: resources[0]: got type %.80q, want %q",
			AdmissionFile, layer.Type, runtimeType)
	}
	a := Admissions{Version: r.Version, Values: map[string]int{}, Stamps: map[string]string{}}
	for key, value := range layer.Layer {
		switch value := value.(type) {
		case string:
			if class, ok := strings.CutSuffix(key, transport.VersionKeySuffix); ok {
				a.Stamps[class] = value
			}
		case float64:
			a.Values[key] = int(value)
		default:
			return Admissions{}, fmt.Errorf("%s: resources[0].layer.%s: want a number or a string", AdmissionFile, key)
		}
	}
	return a, nil
}
