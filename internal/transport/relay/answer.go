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
	callAnswered  callOutcome = iota // the relay reported how many operations it carried out
	callUncertain                    // unknown: carried out as if it had been answered, or not at all
	callRejected                     // no operation was carried out; a retry may succeed
	callMalformed                    // no operation was carried out; an unchanged retry would be rejected again
)

var (
	errCallLimit     = errors.New("relay rejected the call: limit reached")
	errCallMalformed = errors.New("relay rejected the call as malformed")
)

// notSentError reports that no byte of a call was sent, so that the relay cannot have carried it out.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "relay call not sent: " + e.err.Error() }

func (e *notSentError) Unwrap() error { return e.err }

// outcomeOf returns the outcome of a call that ended with the given error.
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

// Names in the relay's answers.
const (
	acceptedElement = "accepted"
	limitCode       = "limit"
	malformedCode   = "malformed"
)

// parseAnswer parses the answer to a call with the given number of operations and returns how many of them the relay
// carried out. It returns errCallLimit or errCallMalformed if the relay reports that it carried out none. After any
// other error the outcome of the call is unknown.
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

// answerFields collects the content of an answer while its tokens are read.
type answerFields struct {
	operations  int      // number of operations of the call
	path        []string // names of the open elements
	accepted    int
	hasAccepted bool // the answer has an accepted element
	limit       bool
	malformed   bool
}

// add processes the next token of the answer.
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

// addText processes the text of the innermost open element.
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
