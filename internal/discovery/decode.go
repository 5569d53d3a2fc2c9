package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

var errMissingName = errors.New("name is missing")

// decodeList decodes a list in the JSON format of list files and of the list service. Errors state the byte offset or
// the index of the entry.
func decodeList(text []byte) (EndpointList, error) {
	var list EndpointList
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return EndpointList{}, fmt.Errorf("endpoint list: byte %d: %w", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return EndpointList{}, fmt.Errorf("endpoint list: byte %d: trailing data after the list", decoder.InputOffset())
	}
	if len(list.Endpoints) > maxEndpoints {
		return EndpointList{},
			fmt.Errorf("endpoint list: %d servers exceed the limit of %d", len(list.Endpoints), maxEndpoints)
	}
	names := make(map[string]bool, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		if err := validate(endpoint); err != nil {
			return EndpointList{}, fmt.Errorf("endpoint list: servers[%d]: %w", i, err)
		}
		if names[endpoint.Name] {
			return EndpointList{}, fmt.Errorf("endpoint list: servers[%d]: duplicate name %q", i, endpoint.Name)
		}
		names[endpoint.Name] = true
	}
	return list, nil
}

// validate returns an error if the endpoint has no name, an invalid state, or no address while it is in use.
func validate(endpoint Endpoint) error {
	if endpoint.Name == "" {
		return errMissingName
	}
	switch endpoint.State {
	case "", stateReady, stateDraining, stateGone:
	default:
		return fmt.Errorf("state %q is not one of ready, draining, gone", endpoint.State)
	}
	if endpoint.Addr == "" && endpoint.State != stateGone {
		return fmt.Errorf("%q: addr is missing", endpoint.Name)
	}
	return nil
}
