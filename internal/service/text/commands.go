package text

import (
	"context"
	"strconv"
	"strings"

	"cressknot/internal/haproxyapi"
	"cressknot/internal/service"
	"cressknot/internal/tableversion"
)

// noVersion stands for tableversion.NoVersion in requests and answers.
const noVersion = "-"

// handler answers the commands that match a pattern.
type handler struct {
	pattern []string // a word in capitals matches any word
	handle  func(ctx context.Context, c *connection, command haproxyapi.Command)
}

// handlers are the commands of the protocol.
var handlers = []handler{
	{[]string{"hello", "VERSION", "NAME"}, hello},
	{[]string{"get", "table", "ZONE"}, getTable},
	{[]string{"watch", "table", "ZONE"}, watchTable},
	{[]string{"watch", "table", "ZONE", "VERSION"}, watchTable},
	{[]string{"report", "ZONE", "SESSION", "SEQ"}, report},
	{[]string{"get", "server", "NAME"}, getServer},
	{[]string{"get", "history", "ZONE", "CLASS", "MOST"}, getHistory},
	{[]string{"get", "summary"}, getSummary},
	{[]string{"prompt", "MODE"}, prompt},
	{[]string{"quit"}, quit},
}

// commandList lists the commands in the answer to an unknown one.
const commandList = "hello VERSION NAME, get table ZONE, watch table ZONE [VERSION], report ZONE SESSION SEQ, " +
	"get server SERVER, get history ZONE CLASS COUNT, get summary, quit"

func (h *handler) matches(words []string) bool {
	if len(words) != len(h.pattern) {
		return false
	}
	for i, word := range h.pattern {
		if word != strings.ToUpper(word) && word != words[i] {
			return false
		}
	}
	return true
}

func (c *connection) answerUnknown(command haproxyapi.Command) {
	c.rejectRequest("byte %d: unknown command %.200q; the commands are: %s",
		command.Offset, strings.Join(command.Words, " "), commandList)
}

func hello(_ context.Context, c *connection, command haproxyapi.Command) {
	version := command.Words[1]
	name := command.Words[2]
	majorText, minorText, ok := strings.Cut(version, ".")
	major, majorErr := strconv.ParseUint(majorText, 10, 32)
	minor, minorErr := strconv.ParseUint(minorText, 10, 32)
	if !ok || majorErr != nil || minorErr != nil {
		c.rejectRequest(
			"byte %d: invalid protocol version %.40q: want MAJOR.MINOR",
			command.Offset,
			version,
		)
		return
	}
	introduction := service.Hello{Major: uint32(major), Minor: uint32(minor), Name: name}
	greeting, serviceErr := c.server.service.Greet(introduction)
	if serviceErr == nil {
		c.caller.Name = name
	}
	reply(c, greeting, serviceErr, FormatHello)
}

func getTable(_ context.Context, c *connection, command haproxyapi.Command) {
	update, serviceErr := c.server.service.Table(c.caller, command.Words[2])
	reply(c, update, serviceErr, encodedUpdate)
}

func watchTable(_ context.Context, c *connection, command haproxyapi.Command) {
	from := tableversion.NoVersion
	if len(command.Words) > 3 && command.Words[3] != noVersion {
		var err error
		from, err = tableversion.ParseVersion(command.Words[3])
		if err != nil {
			c.rejectRequest("byte %d: %v", command.Offset, err)
			return
		}
	}
	sender := &c.server.sender
	watcher, serviceErr := c.server.service.Watch(c.caller, command.Words[2], from, func() { sender.enqueue(c) })
	if serviceErr != nil {
		c.reject(serviceErr)
		return
	}
	c.usage.Account().Completed()
	c.watcher.Store(watcher)
	if c.isClosed.Load() {
		watcher.Close()
		return
	}
	sender.enqueue(c)
}

func report(_ context.Context, c *connection, command haproxyapi.Command) {
	session, sessionErr := strconv.ParseUint(command.Words[2], 16, 64)
	sequence, sequenceErr := strconv.ParseUint(command.Words[3], 10, 64)
	if sessionErr != nil || sequenceErr != nil {
		c.rejectRequest("byte %d: report: invalid SESSION or SEQ: want a hexadecimal and a decimal number",
			command.Offset)
		return
	}
	batch := &service.Report{Zone: command.Words[1], Session: session, Sequence: sequence}
	if err := ParseReport(command.Payload, batch); err != nil {
		c.rejectRequest("byte %d: payload: %v", command.Offset, err)
		return
	}
	counted, serviceErr := c.server.service.Report(c.caller, batch)
	reply(c, counted, serviceErr, FormatReportReply)
}

func getServer(ctx context.Context, c *connection, command haproxyapi.Command) {
	state, serviceErr := c.server.service.Server(ctx, c.caller, command.Words[2])
	reply(c, state, serviceErr, FormatServerState)
}

func getHistory(ctx context.Context, c *connection, command haproxyapi.Command) {
	zone := command.Words[2]
	class := command.Words[3]
	maxVersions, err := strconv.Atoi(command.Words[4])
	if err != nil {
		c.rejectRequest("byte %d: invalid number of versions %.40q: want an integer",
			command.Offset, command.Words[4])
		return
	}
	history, serviceErr := c.server.service.History(ctx, c.caller, zone, class, maxVersions)
	reply(c, history, serviceErr, FormatHistory)
}

func getSummary(ctx context.Context, c *connection, _ haproxyapi.Command) {
	summary, serviceErr := c.server.service.Summary(ctx, c.caller)
	reply(c, summary, serviceErr, FormatSummary)
}

// prompt has no effect, because connections stay open after an answer in any mode.
func prompt(_ context.Context, c *connection, _ haproxyapi.Command) { c.answer(nil) }

func quit(_ context.Context, c *connection, _ haproxyapi.Command) { _ = c.conn.Close() }
