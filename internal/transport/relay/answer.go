package relay

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// callOutcome is the result of a call.
type callOutcome uint8

const (
	callAnswered  callOutcome = iota // the relay stated how many operations it carried out
	callUncertain                    // carried out as if it had been answered, or not at all
	callRejected                     // nothing was carried out
	callMalformed                    // nothing was carried out, nor will it be when it is repeated unchanged
)

var (
	errCallLimit     = errors.New("relay rejected the call: limit reached")
	errCallMalformed = errors.New("relay rejected the call as malformed")
)

// notSentError reports that no byte of a call has left: the relay can't have carried it out.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "relay call not sent: " + e.err.Error() }

func (e *notSentError) Unwrap() error { return e.err }

// outcomeOf classifies the error of a call.
func outcomeOf(err error) callOutcome {
	var notSent *notSentError
	switch {
	case err == nil:
		return callAnswered
	case errors.Is(err, errCallLimit), errors.As(err, &notSent):
		return callRejected
	case errors.Is(err, errCallMalformed):
		return callMalformed
	}
	return callUncertain
}

// Names that the relay uses in its answers.
const (
	acceptedElement = "accepted"
	limitCode       = "limit"
	malformedCode   = "malformed"
)

// parseAnswer reads how many operations the relay carried out of a call with the given number. It returns errCallLimit
// or errCallMalformed where the relay states that it carried out none; any other error leaves the call uncertain.
func parseAnswer(body []byte, operations int) (accepted int, err error) {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	answer := answerFields{operations: operations}
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, fmt.Errorf("parse relay answer at byte %d: %w", decoder.InputOffset(), err)
		}
		if err := answer.add(token); err != nil {
			return 0, err
		}
	}
	switch {
	case answer.hasAccepted:
		return answer.accepted, nil
	case answer.limit:
		return 0, errCallLimit
	case answer.malformed:
		return 0, errCallMalformed
	}
	return 0, fmt.Errorf("relay answer has no %s element: %.80q", acceptedElement, body)
}

// answerFields collects what an answer states while its tokens are read.
type answerFields struct {
	operations  int      // of the call
	path        []string // the open elements
	accepted    int
	hasAccepted bool // accepted was stated
	limit       bool
	malformed   bool
}

func (a *answerFields) add(token xml.Token) error {
	switch token := token.(type) {
	case xml.StartElement:
		a.path = append(a.path, token.Name.Local)
	case xml.EndElement:
		a.path = a.path[:len(a.path)-1]
	case xml.CharData:
		return a.addText(strings.TrimSpace(string(token)))
	}
	return nil
}

func (a *answerFields) addText(text string) error {
	if len(a.path) == 0 || text == "" {
		return nil
	}
	if a.path[len(a.path)-1] != acceptedElement {
		a.limit = a.limit || text == limitCode
		a.malformed = a.malformed || text == malformedCode
		return nil
	}
	accepted, err := strconv.Atoi(text)
	if err != nil || accepted < 0 || accepted > a.operations || a.hasAccepted {
		return fmt.Errorf("relay answer: %s element %.20q is repeated or not a number from 0 to %d",
			acceptedElement, text, a.operations)
	}
	a.accepted = accepted
	a.hasAccepted = true
	return nil
}
