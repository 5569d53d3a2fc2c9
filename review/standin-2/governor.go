package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// governor is a process of the project: `cressknot serve`.
type governor struct {
	rec     *record
	program string
	config  string
	socket  string
	log     *os.File
	process *exec.Cmd
	ended   chan error
}

func newGovernor(rec *record, program, dir, settings string) *governor {
	g := &governor{rec: rec, program: program, config: filepath.Join(dir, "governor.cue"), socket: filepath.Join(dir, "op.sock")}
	if err := os.WriteFile(g.config, []byte(settings), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(dir, "governor.log"))
	if err != nil {
		cannotRun("log: %v", err)
	}
	g.log = log
	check := exec.Command(program, "check", g.config)
	if out, err := check.CombinedOutput(); err != nil {
		cannotRun("cressknot check: %v: %s", err, out)
	}
	return g
}

// start starts the process and waits until its operators' socket answers. It returns the time of that answer.
func (g *governor) start() time.Time {
	g.process = exec.Command(g.program, "serve", "--config", g.config)
	g.process.Stdout, g.process.Stderr = g.log, g.log
	if err := g.process.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	g.ended = make(chan error, 1)
	process, ended := g.process, g.ended
	go func() { ended <- process.Wait() }()
	g.rec.say("governor started (pid %d)", g.process.Process.Pid)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if answer, err := g.ask("show info"); err == nil && answer != "" {
			g.rec.say("governor answers")
			return time.Now()
		}
	}
	cannotRun("the governor did not answer within 20 s")
	return time.Time{}
}

// stop sends SIGTERM and waits for the end; after 10 s it kills the process.
func (g *governor) stop() {
	if g.process == nil {
		return
	}
	_ = g.process.Process.Signal(syscall.SIGTERM)
	g.rec.say("SIGTERM to the governor")
	select {
	case err := <-g.ended:
		g.rec.say("governor ended: %v", err)
	case <-time.After(10 * time.Second):
		_ = g.process.Process.Kill()
		<-g.ended
		g.rec.say("governor killed")
	}
	g.process = nil
}

// ask sends one operators' command and returns the answer.
func (g *governor) ask(command string) (string, error) {
	conn, err := net.DialTimeout("unix", g.socket, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write([]byte(command + "\n")); err != nil {
		return "", err
	}
	var out bytes.Buffer
	_, err = out.ReadFrom(bufio.NewReader(conn))
	return strings.TrimSpace(out.String()), err
}

func (g *governor) mustAsk(command string) string {
	answer, err := g.ask(command)
	if err != nil {
		cannotRun("%s: %v", command, err)
	}
	g.rec.say("operator: %s -> %s", command, answer)
	return answer
}

// listed is a server of the endpoint list.
type listed struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Started string `json:"started,omitempty"`
}

// listFile is the endpoint list: a file that is replaced by a rename.
type listFile struct {
	rec  *record
	path string
	rev  int
}

// write replaces the list and returns the time at which the governor can read it.
func (l *listFile) write(why string, servers []listed) time.Time {
	l.rev++
	text, err := json.Marshal(map[string]any{"rev": l.rev, "servers": servers})
	if err != nil {
		cannotRun("list: %v", err)
	}
	if err := os.WriteFile(l.path+".new", text, 0o600); err != nil {
		cannotRun("list: %v", err)
	}
	if err := os.Rename(l.path+".new", l.path); err != nil {
		cannotRun("list: %v", err)
	}
	l.rec.say("list rev %d: %s", l.rev, why)
	return time.Now()
}

func quoted(names []string) string {
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprintf("%q", name))
	}
	return strings.Join(out, ", ")
}
