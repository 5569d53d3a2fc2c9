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
	// askTimeout bounds one command to a running controller.
	askTimeout = 5 * time.Second
	// readBufferSize is the size of one read of an answer, in bytes.
	readBufferSize = 1 << 16
	// refusedPrefix begins the answer to a command that was refused.
	refusedPrefix = "Refused: "
)

// errAnswerComplete ends the reading of a connection.
var errAnswerComplete = errors.New("answer complete")

// Ask sends a controller one command at its operators' socket, a path or host:port, and returns the answer. An
// answer that refuses the command is an error.
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

func networkOf(address string) string {
	if strings.Contains(address, "/") || filepath.Ext(address) == ".sock" {
		return "unix"
	}
	return "tcp"
}

// readAnswer reads the answer to one command.
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
