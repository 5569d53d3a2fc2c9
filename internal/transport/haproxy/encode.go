package haproxy

import (
	"net"
	"strconv"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// commandReserve is the room in bytes that a line must have left for one more command.
const commandReserve = 1024

// encoder writes changes as commands. It allocates only when its buffers grow.
type encoder struct {
	session     *session
	sequence    uint64 // of the message
	changeIndex int
	out         []byte
	lineStart   int // where the present line begins in out
	commands    int
}

// change writes the commands of one change.
func (e *encoder) change(change *reconcile.Change) {
	switch change.Kind {
	case reconcile.UpdateAdmission:
		e.admission(change)
	case reconcile.UpdateVersion:
		e.mapEntry(e.className(change)+transport.VersionKey, change.VersionStamp)
	case reconcile.AddEntry:
		e.add(change)
	case reconcile.DeleteEntry:
		name, _ := e.session.options().Names.Lookup(change.Server)
		e.command("del server ", change.Class, name)
	default:
		e.update(change)
	}
}

func (e *encoder) admission(change *reconcile.Change) {
	limit := change.Admission.Limit
	if limit < 0 {
		limit = e.session.unlimitedAdmission()
	}
	class := e.className(change)
	e.mapEntry(e.session.admissionKey(class), strconv.Itoa(int(limit)))
	e.mapEntry(class+transport.RetryKey, strconv.Itoa(int(change.Admission.Retry)))
}

func (e *encoder) className(change *reconcile.Change) string {
	return e.session.options().Classes[change.Class].Name
}

func (e *encoder) add(change *reconcile.Change) {
	name, addr := e.session.options().Names.Lookup(change.Server)
	e.command("add server ", change.Class, name)
	e.out = append(e.out, ' ')
	e.out = haproxyapi.AppendWord(e.out, addr)
	e.out = append(e.out, " weight "...)
	e.out = strconv.AppendInt(e.out, int64(change.Weight), 10)
	e.state(change.Class, name, change.State) // a new server is in maintenance
}

// update writes a change of an entry that exists. A state that stops traffic goes before the weight, one that lets
// traffic in after it.
func (e *encoder) update(change *reconcile.Change) {
	name, addr := e.session.options().Names.Lookup(change.Server)
	if change.AddressChanged {
		e.address(change.Class, name, addr)
	}
	if change.State != reconcile.StateUnchanged && change.State != reconcile.StateReady {
		e.state(change.Class, name, change.State)
	}
	if change.Weight >= 0 {
		e.weight(change.Class, name, change.Weight)
	}
	if change.State == reconcile.StateReady {
		e.state(change.Class, name, change.State)
	}
}

func (e *encoder) address(class fleet.ClassID, name, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return
	}
	e.command("set server ", class, name)
	e.out = append(e.out, " addr "...)
	e.out = haproxyapi.AppendWord(e.out, host)
	e.out = append(e.out, " port "...)
	e.out = haproxyapi.AppendWord(e.out, port)
}

func (e *encoder) weight(class fleet.ClassID, name string, weight int16) {
	e.command("set server ", class, name)
	e.out = append(e.out, " weight "...)
	e.out = strconv.AppendInt(e.out, int64(weight), 10)
}

func (e *encoder) state(class fleet.ClassID, name string, state reconcile.State) {
	e.command("set server ", class, name)
	switch state {
	case reconcile.StateReady:
		e.out = append(e.out, " state ready"...)
	case reconcile.StateDrain:
		e.out = append(e.out, " state drain"...)
	default:
		e.out = append(e.out, " state maint"...)
	}
}

func (e *encoder) mapEntry(key, value string) {
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

// command begins a command on a server of a class.
func (e *encoder) command(verb string, class fleet.ClassID, name string) {
	e.beginCommand("")
	e.out = append(e.out, verb...)
	e.out = haproxyapi.AppendWord(e.out, e.session.options().Classes[class].Backend)
	e.out = append(e.out, '/')
	e.out = haproxyapi.AppendWord(e.out, name)
}

// beginCommand begins a command, on a new line where the present one has no room for it. The key is that of the map
// entry that the command writes, if any.
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
