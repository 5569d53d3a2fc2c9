package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"cressknot/internal/simwire"
)

const (
	nanosecondsPerMillisecond = 1e6

	// maxStartTime, in ms since 1970, is half of the largest time that fits into an int64 of nanoseconds.
	maxStartTime = math.MaxInt64 / (2 * nanosecondsPerMillisecond)
)

var (
	errMissingRevision   = errors.New("key \"rev\" is missing")
	errMissingAll        = errors.New("key \"all\" is missing")
	errInvalidTargetName = fmt.Errorf("uid is empty, or uid or endpoint exceeds %d bytes", maxPlatformNameSize)
)

// platformStates maps the platform's state names to the values of Endpoint.State.
var platformStates = map[string]string{
	"in_service":  stateReady,
	"terminating": stateDraining,
	"terminated":  stateGone,
}

// platformList is a list in the platform's JSON format.
type platformList struct {
	Revision *uint64          `json:"rev"`
	Complete *bool            `json:"all"`
	Targets  []platformTarget `json:"targets"`
}

// platformTarget is one server in the platform's JSON format.
type platformTarget struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     uint16  `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	StartTime    float64 `json:"boot_ms"` // ms since 1970; 0: unknown, long ago
}

// Decode decodes a list in the platform's JSON format and validates it against Zones and Kinds. Errors state the byte
// offset, the key or the index of the entry.
func (p *PlatformSource) Decode(text []byte) (*EndpointList, error) {
	var source platformList
	if err := json.Unmarshal(text, &source); err != nil {
		return nil, simwire.LocateJSONError(err)
	}
	switch {
	case source.Revision == nil:
		return nil, errMissingRevision
	case source.Complete == nil:
		return nil, errMissingAll
	case len(source.Targets) > maxEndpoints:
		return nil, fmt.Errorf("key \"targets\": %d servers exceed the limit of %d", len(source.Targets), maxEndpoints)
	}
	list := &EndpointList{Revision: *source.Revision, Delta: !*source.Complete}
	names := make(map[string]bool, len(source.Targets))
	for i, target := range source.Targets {
		if err := p.validateTarget(target, names); err != nil {
			return nil, fmt.Errorf("targets[%d]: %w", i, err)
		}
		names[target.UID] = true
		list.Endpoints = append(list.Endpoints, target.toEndpoint())
	}
	return list, nil
}

// validateTarget returns an error if a field of the target is invalid or its uid is among names, the uids of the
// targets before it.
func (p *PlatformSource) validateTarget(target platformTarget, names map[string]bool) error {
	if target.UID == "" || len(target.UID) > maxPlatformNameSize || len(target.Endpoint) > maxPlatformNameSize {
		return errInvalidTargetName
	}
	state, known := platformStates[target.State]
	inRange := target.StartTime >= 0 && target.StartTime < maxStartTime // false for NaN
	switch {
	case names[target.UID]:
		return fmt.Errorf("duplicate uid %q", target.UID)
	case !known:
		return fmt.Errorf("unknown state %.40q", target.State)
	case state != stateGone && !slices.Contains(p.Zones, target.Zone):
		return fmt.Errorf("unknown az %.40q", target.Zone)
	case state != stateGone && !slices.Contains(p.Kinds, target.Model):
		return fmt.Errorf("unknown model %.40q", target.Model)
	case !inRange:
		return fmt.Errorf("boot_ms %g is outside [0, %g)", target.StartTime, float64(maxStartTime))
	case !(target.CapacityHint >= 0):
		return fmt.Errorf("capacity_hint %g is negative or not a number", target.CapacityHint)
	}
	return nil
}

func (t *platformTarget) toEndpoint() Endpoint {
	endpoint := Endpoint{
		Name:   t.UID,
		Addr:   t.Endpoint,
		Zone:   t.Zone,
		Kind:   t.Model,
		Cell:   t.PodGroup,
		State:  platformStates[t.State],
		Weight: t.CapacityHint,
	}
	if t.StartTime > 0 {
		endpoint.Started = time.Unix(0, int64(math.Round(t.StartTime*nanosecondsPerMillisecond)))
	}
	return endpoint
}
