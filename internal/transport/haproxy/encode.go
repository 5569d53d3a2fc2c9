package haproxy

import (
	"net"
	"strconv"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// commandReserve is the space in bytes that a line must have left to take another command.
const commandReserve = 1024

// encoder writes the changes of a message as commands. It allocates only when its buffers grow.
type encoder struct {
	session     *session
	sequence    uint64 // sequence number of the message
	changeIndex int    // index of the change in its message
	out         []byte
	lineStart   int // index in out at which the current line begins
	commands    int
}

// appendChange appends the commands of one change.
func (e *encoder) appendChange(change *reconcile.Change) {
	switch change.Kind {
	case reconcile.UpdateAdmission:
		e.appendAdmission(change)
	case reconcile.UpdateVersion:
		e.appendMapEntry(e.className(change)+transport.VersionKeySuffix, change.VersionStamp)
	case reconcile.AddEntry:
		e.appendAdd(change)
	case reconcile.DeleteEntry:
		name, _ := e.session.options().Names.Lookup(change.Server)
		e.beginServerCommand("del server ", change.Class, name)
	default:
		e.appendUpdate(change)
	}
}

func (e *encoder) appendAdmission(change *reconcile.Change) {
	limit := change.Admission.Limit
	if limit < 0 {
		limit = e.session.unlimitedAdmission()
	}
	class := e.className(change)
	e.appendMapEntry(e.session.admissionKey(class), strconv.Itoa(int(limit)))
	e.appendMapEntry(class+transport.RetryKeySuffix, strconv.Itoa(int(change.Admission.Retry)))
}

func (e *encoder) className(change *reconcile.Change) string {
	return e.session.options().Classes[change.Class].Name
}

func (e *encoder) appendAdd(change *reconcile.Change) {
	name, addr := e.session.options().Names.Lookup(change.Server)
	e.beginServerCommand("add server ", change.Class, name)
	e.out = append(e.out, ' ')
	e.out = haproxyapi.AppendWord(e.out, addr)
	e.out = append(e.out, " weight "...)
	e.out = strconv.AppendInt(e.out, int64(change.Weight), 10)
	e.appendState(change.Class, name, change.State) // HAProxy adds servers in maintenance
}

// appendUpdate appends the commands that change an existing entry. A state that stops traffic is set before the weight,
// one that admits traffic after it.
func (e *encoder) appendUpdate(change *reconcile.Change) {
	name, addr := e.session.options().Names.Lookup(change.Server)
	if change.AddressChanged {
		e.appendAddress(change.Class, name, addr)
	}
	if change.State != reconcile.StateUnchanged && change.State != reconcile.StateReady {
		e.appendState(change.Class, name, change.State)
	}
	if change.Weight >= 0 {
		e.appendWeight(change.Class, name, change.Weight)
	}
	if change.State == reconcile.StateReady {
		e.appendState(change.Class, name, change.State)
	}
}

func (e *encoder) appendAddress(class fleet.ClassID, name, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return
	}
	e.beginServerCommand("set server ", class, name)
	e.out = append(e.out, " addr "...)
	e.out = haproxyapi.AppendWord(e.out, host)
	e.out = append(e.out, " port "...)
	e.out = haproxyapi.AppendWord(e.out, port)
}

func (e *encoder) appendWeight(class fleet.ClassID, name string, weight int16) {
	e.beginServerCommand("set server ", class, name)
	e.out = append(e.out, " weight "...)
	e.out = strconv.AppendInt(e.out, int64(weight), 10)
}

func (e *encoder) appendState(class fleet.ClassID, name string, state reconcile.State) {
	e.beginServerCommand("set server ", class, name)
	switch state {
	case reconcile.StateReady:
		e.out = append(e.out, " state ready"...)
	case reconcile.StateDrain:
		e.out = append(e.out, " state drain"...)
	default:
		e.out = append(e.out, " state maint"...)
	}
}

func (e *encoder) appendMapEntry(key, value string) {
	e.beginCommand(key)
	verb := "add map "
	if e.session.mapKeys[key] {
		verb = "set map "
	}
	e.out = append(e.out, verb...)
	e.out = haproxyapi.AppendWord(e.out, e.session.options().Map)
	e.out = append(e.out, ' ')
	e.out = haproxyapi.AppendWord(e.out, key)
	e.out = append(e.out, ' ')
	e.out = haproxyapi.AppendWord(e.out, value)
}

// beginServerCommand begins a command for a server in the backend of a class.
func (e *encoder) beginServerCommand(verb string, class fleet.ClassID, name string) {
	e.beginCommand("")
	e.out = append(e.out, verb...)
	e.out = haproxyapi.AppendWord(e.out, e.session.options().Classes[class].Backend)
	e.out = append(e.out, '/')
	e.out = haproxyapi.AppendWord(e.out, name)
}

// beginCommand begins a command, on a new line if the current one lacks space for it. The key is that of the map entry
// that the command writes, "" for none.
func (e *encoder) beginCommand(key string) {
	switch {
	case e.commands == 0:
		e.lineStart = len(e.out)
	case len(e.out)-e.lineStart > haproxyapi.MaxLineLength-commandReserve:
		e.out = append(e.out, '\n')
		e.lineStart = len(e.out)
	default:
		e.out = append(e.out, ';')
	}
	e.commands++
	e.session.expected = append(e.session.expected, expectedAnswer{
		kind:        changeAnswer,
		sequence:    e.sequence,
		changeIndex: e.changeIndex,
		key:         key,
	})
}
