package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// LocateJSONError adds to an error of package json where the text is wrong: the byte or the key. Other errors are
// returned as they are.
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
