package rollingrestart

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The form of the answer to "show members".
const (
	commentPrefix = "#"
	membersFields = 3
	unservedRow   = "(nobody)"
	ownRowSuffix  = "(this)"
)

// Members is how many proxies each controller serves, as one controller sees it.
type Members struct {
	Own      int            // that controller
	Unserved int            // proxies without a controller
	Others   map[string]int // by controller
}

// Attended returns an error unless every proxy has a controller.
func (m Members) AllServed() error {
	if m.Unserved > 0 {
		return fmt.Errorf("%d proxies have no controller", m.Unserved)
	}
	return nil
}

// HandedOver returns an error unless the controller serves no proxy, or there is no other one that could.
func (m Members) HandedOver() error {
	if m.Own > 0 && len(m.Others) > 0 {
		return fmt.Errorf("controller still serves %d proxies", m.Own)
	}
	return nil
}

// ParseMembers parses the answer to "show members". Errors name the line.
func ParseMembers(text string) (Members, error) {
	members := Members{Others: map[string]int{}}
	rows := 0
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 0 && fields[0] == commentPrefix {
			continue
		}
		if len(fields) != membersFields {
			return members, fmt.Errorf("show members: line %d has %d fields, want %d: %.80q",
				i+1, len(fields), membersFields, line)
		}
		proxies, err := strconv.Atoi(fields[1])
		if err != nil {
			return members, fmt.Errorf("show members: line %d: proxy count %.20q is not a number", i+1, fields[1])
		}
		rows++
		switch controller := fields[0]; {
		case controller == unservedRow:
			members.Unserved = proxies
		case strings.HasSuffix(controller, ownRowSuffix):
			members.Own = proxies
		default:
			members.Others[controller] = proxies
		}
	}
	if rows == 0 {
		return members, errors.New("show members: answer lists no controller")
	}
	return members, nil
}

// askMembers asks a controller for its members.
func fetchMembers(address string) (Members, error) {
	text, err := Ask(address, "show", "members")
	if err != nil {
		return Members{}, err
	}
	return ParseMembers(text)
}
