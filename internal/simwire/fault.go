package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// JSONFault says where JSON can't be read: the byte, or the key.
func JSONFault(err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("byte %d: %w", syntax.Offset, err)
	case errors.As(err, &kind):
		return fmt.Errorf("key %s: %w", kind.Field, err)
	}
	return err
}
