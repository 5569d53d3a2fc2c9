// Package rolling asks running governors on their operators' sockets, and restarts those that share proxies one after the other.
package rollingrestart

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/lease"
)

const askWithin = 5 * time.Second // for an answer of a running governor

// Ask asks a governor one command at its operators' socket, a path or host:port.
func Ask(addr string, words ...string) (string, error) {
	network := "tcp"
	if strings.Contains(addr, "/") || filepath.Ext(addr) == ".sock" {
		network = "unix"
	}
	conn, err := net.DialTimeout(network, addr, askWithin)
	if err != nil {
		return "", fmt.Errorf("no governor answers: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(askWithin)); err != nil {
		return "", err
	}
	if _, err := conn.Write(append(haproxyapi.AppendCommand(nil, words...), '\n')); err != nil {
		return "", fmt.Errorf("asking the governor: %w", err)
	}
	var answers haproxyapi.Answers
	var text string
	done := errors.New("done")
	buffer := make([]byte, 1<<16)
	for in := bufio.NewReader(conn); ; {
		n, err := in.Read(buffer)
		if fed := answers.Feed(buffer[:n], func(b []byte) error { text = string(b); return done }); fed == done {
			break
		} else if err = errors.Join(fed, err); err != nil {
			return "", fmt.Errorf("the governor's answer: %w", err)
		}
	}
	if strings.HasPrefix(text, haproxyapi.UnknownPrefix) || text == haproxyapi.NoServer || strings.Contains(text, "Refused: ") {
		return "", errors.New(strings.TrimSpace(text))
	}
	return text, nil
}

// Members is what a governor sees at the proxies: how many each governor serves.
type Members struct {
	Own, Nobody int
	Others      map[string]int
}

// Attended tells whether every proxy has a governor.
func (m Members) Attended() error {
	if m.Nobody > 0 {
		return fmt.Errorf("%d proxies have no governor", m.Nobody)
	}
	return nil
}

// HandedOn tells whether a governor holds nothing any more, or nobody is there who could.
func (m Members) HandedOn() error {
	if m.Own > 0 && len(m.Others) > 0 {
		return fmt.Errorf("it holds %d proxies still", m.Own)
	}
	return nil
}

// Read reads what "show members" answers. Errors name the line.
func Read(text string) (m Members, err error) {
	m.Others = map[string]int{}
	rows := 0
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		if len(f) > 0 && f[0] == "#" {
			continue
		}
		if len(f) != 3 {
			return m, fmt.Errorf("line %d: %.80q", i+1, line)
		}
		n, err := strconv.Atoi(f[1])
		if err != nil {
			return m, fmt.Errorf("line %d: %.20q is no number", i+1, f[1])
		}
		rows++
		switch {
		case f[0] == "(nobody)":
			m.Nobody = n
		case strings.HasSuffix(f[0], "(this)"):
			m.Own = n
		default:
			m.Others[f[0]] = n
		}
	}
	if rows == 0 {
		return m, errors.New("no line of a governor")
	}
	return m, nil
}

// Until asks a governor again and again, twice a beat, until what it sees is good.
func Until(ctx context.Context, addr string, within time.Duration, good func(Members) error) error {
	for end := time.Now().Add(within); ; {
		text, err := Ask(addr, "show", "members")
		if err == nil {
			var m Members
			if m, err = Read(text); err == nil {
				err = good(m)
			}
		}
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: after %s: %w", addr, within, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(lease.CheckInterval) / 2):
		}
	}
}

// Restart restarts governors one after the other: each hands its proxies on before, and the next one's turn comes when every proxy has
// a governor again. It ends with the first step that does not come to pass in time; a governor that was not restarted takes its part
// again then.
func Restart(ctx context.Context, sockets []string, within time.Duration, restart func(ctx context.Context, socket string) error) error {
	for _, addr := range sockets {
		if err := Until(ctx, addr, within, Members.Attended); err != nil {
			return fmt.Errorf("before its turn: %w", err)
		}
		if _, err := Ask(addr, "retire", "on"); err != nil {
			return fmt.Errorf("%s: %w", addr, err)
		}
		if err := Until(ctx, addr, within, Members.HandedOn); err != nil {
			_, back := Ask(addr, "retire", "off")
			return errors.Join(fmt.Errorf("handing on: %w", err), back)
		}
		if err := restart(ctx, addr); err != nil {
			return fmt.Errorf("%s: %w", addr, err)
		}
		if err := Until(ctx, addr, within, Members.Attended); err != nil {
			return fmt.Errorf("after its restart: %w", err)
		}
	}
	return nil
}
