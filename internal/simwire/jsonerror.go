package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// LocateJSONError wraps an error of package json with the location of the fault: the byte for a syntax error, the key
// for a value of the wrong type. It returns other errors unchanged.
func LocateJSONError(err error) error {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return fmt.Errorf("byte %d: %w", syntaxError.Offset, err)
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("key %s: %w", typeError.Field, err)
	}
	return err
}
