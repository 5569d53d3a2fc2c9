package rollingrestart

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Format of the answer to "show members": rows of a controller's name, its number of proxies and the age of its
// heartbeat. Controllers of other versions use the same format.
const (
	commentPrefix = "#"
	membersFields = 3
	unservedRow   = "(nobody)"
	ownRowSuffix  = "(this)"
)

// Members is the number of proxies that each controller serves, as reported by one of them.
type Members struct {
	Own      int            // of the reporting controller
	Unserved int            // proxies without a controller
	Others   map[string]int // of the other controllers, by name
}

// AllServed returns an error unless every proxy has a controller.
func (m Members) AllServed() error {
	if m.Unserved > 0 {
		return fmt.Errorf("%d proxies have no controller", m.Unserved)
	}
	return nil
}

// HandedOver returns an error unless the reporting controller serves no proxy, or there is no other controller to
// serve its proxies.
func (m Members) HandedOver() error {
	if m.Own > 0 && len(m.Others) > 0 {
		return fmt.Errorf("controller still serves %d proxies", m.Own)
	}
	return nil
}

// ParseMembers parses the answer to "show members". Errors name the invalid line, counted from 1.
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

// fetchMembers sends "show members" to a controller and parses the answer.
func fetchMembers(address string) (Members, error) {
	text, err := Ask(address, "show", "members")
	if err != nil {
		return Members{}, err
	}
	return ParseMembers(text)
}
