package rollingrestart

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"time"

	"cressknot/internal/haproxyapi"
)

const (
	// askTimeout bounds the time to connect to a controller, and the time for a command and its answer.
	askTimeout = 5 * time.Second
	// readBufferSize is the size of one read of an answer, in bytes.
	readBufferSize = 1 << 16
	// refusedPrefix marks the answer to a command that the controller refuses.
	refusedPrefix = "Refused: "
)

// errAnswerComplete stops the parser after the first answer.
var errAnswerComplete = errors.New("answer complete")

// Ask sends one command to a controller at its operators' socket and returns the answer. The address is the path of a
// Unix socket or host:port. An answer that refuses the command is returned as the error.
func Ask(address string, words ...string) (string, error) {
	connection, err := net.DialTimeout(networkOf(address), address, askTimeout)
	if err != nil {
		return "", fmt.Errorf("connect to controller: %w", err)
	}
	defer func() { _ = connection.Close() }()
	if err := connection.SetDeadline(time.Now().Add(askTimeout)); err != nil {
		return "", err
	}
	command := append(haproxyapi.AppendCommand(nil, words...), '\n')
	if _, err := connection.Write(command); err != nil {
		return "", fmt.Errorf("send command to controller: %w", err)
	}
	answer, err := readAnswer(connection)
	if err != nil {
		return "", fmt.Errorf("read answer from controller: %w", err)
	}
	if isRefusal(answer) {
		return "", errors.New(strings.TrimSpace(answer))
	}
	return answer, nil
}

// networkOf returns the network of a socket address: a path contains a slash or ends in ".sock".
func networkOf(address string) string {
	if strings.Contains(address, "/") || filepath.Ext(address) == ".sock" {
		return "unix"
	}
	return "tcp"
}

// readAnswer reads up to the end of the answer to one command.
func readAnswer(connection net.Conn) (answer string, err error) {
	var parser haproxyapi.AnswerParser
	buffer := make([]byte, readBufferSize)
	for {
		n, readErr := connection.Read(buffer)
		feedErr := parser.Feed(buffer[:n], func(text []byte) error {
			answer = string(text)
			return errAnswerComplete
		})
		if errors.Is(feedErr, errAnswerComplete) {
			return answer, nil
		}
		if err := errors.Join(feedErr, readErr); err != nil {
			return "", err
		}
	}
}

func isRefusal(answer string) bool {
	return strings.HasPrefix(answer, haproxyapi.UnknownPrefix) || answer == haproxyapi.NoServer ||
		strings.Contains(answer, refusedPrefix)
}
