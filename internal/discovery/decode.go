package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

var errMissingName = errors.New("no name")

// decodeList reads a list in the form of files and the list service. Errors state the byte or the entry.
func decodeList(text []byte) (EndpointList, error) {
	var list EndpointList
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return EndpointList{}, fmt.Errorf("list: byte %d: %w", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return EndpointList{}, fmt.Errorf("list: byte %d: more after its end", decoder.InputOffset())
	}
	if len(list.Endpoints) > maxEndpoints {
		return EndpointList{}, fmt.Errorf("list: %d servers, %d are the most", len(list.Endpoints), maxEndpoints)
	}
	names := make(map[string]bool, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		if err := validate(endpoint); err != nil {
			return EndpointList{}, fmt.Errorf("list: servers[%d]: %w", i, err)
		}
		if names[endpoint.Name] {
			return EndpointList{}, fmt.Errorf("list: servers[%d]: %q stands twice", i, endpoint.Name)
		}
		names[endpoint.Name] = true
	}
	return list, nil
}

// validate returns what is wrong with an endpoint.
func validate(endpoint Endpoint) error {
	if endpoint.Name == "" {
		return errMissingName
	}
	switch endpoint.State {
	case "", stateReady, stateDraining, stateGone:
	default:
		return fmt.Errorf("state %q is none of ready, draining, gone", endpoint.State)
	}
	if endpoint.Addr == "" && endpoint.State != stateGone {
		return fmt.Errorf("%q has no addr", endpoint.Name)
	}
	return nil
}
