package haproxy

import (
	"net"
	"strconv"

	"cressknot/internal/fleet"
	"cressknot/internal/haproxyapi"
	"cressknot/internal/reconcile"
	"cressknot/internal/transport"
)

// encoder turns changes into commands. It allocates only when its buffers grow.
type encoder struct {
	s     *session
	seq   uint64
	index int
	out   []byte
	line  int // where the present line began
	n     int // commands
}

// next begins a command, on a new line where the present one has no room for it.
func (e *encoder) next(key string) {
	const roomForOne = 1024
	switch {
	case e.n == 0:
		e.line = len(e.out)
	case len(e.out)-e.line > haproxyapi.MaxLineLength-roomForOne:
		e.out = append(e.out, '\n')
		e.line = len(e.out)
	default:
		e.out = append(e.out, ';')
	}
	e.n++
	e.s.expect = append(e.s.expect, expectation{what: toChange, seq: e.seq, index: e.index, key: key})
}

func (e *encoder) target(class fleet.ClassID, name string) {
	e.out = haproxyapi.AppendWord(e.out, e.s.link.front.opt.Classes[class].Backend)
	e.out = append(e.out, '/')
	e.out = haproxyapi.AppendWord(e.out, name)
}

func (e *encoder) weight(class fleet.ClassID, name string, weight int16) {
	e.next("")
	e.out = append(e.out, "set server "...)
	e.target(class, name)
	e.out = append(e.out, " weight "...)
	e.out = strconv.AppendInt(e.out, int64(weight), 10)
}

func (e *encoder) state(class fleet.ClassID, name string, state reconcile.State) {
	e.next("")
	e.out = append(e.out, "set server "...)
	e.target(class, name)
	switch state {
	case reconcile.StateReady:
		e.out = append(e.out, " state ready"...)
	case reconcile.StateDrain:
		e.out = append(e.out, " state drain"...)
	default:
		e.out = append(e.out, " state maint"...)
	}
}

func (e *encoder) pair(key, value string) {
	e.next(key)
	verb := "add map "
	if e.s.keys[key] {
		verb = "set map "
	}
	e.out = append(e.out, verb...)
	e.out = haproxyapi.AppendWord(e.out, e.s.link.front.opt.Map)
	e.out = append(e.out, ' ')
	e.out = haproxyapi.AppendWord(e.out, key)
	e.out = append(e.out, ' ')
	e.out = haproxyapi.AppendWord(e.out, value)
}

func (e *encoder) change(c *reconcile.Change) {
	if c.Kind == reconcile.UpdateAdmission {
		class := e.s.link.front.opt.Classes[c.Class].Name
		amount := c.Admission.Limit
		if amount < 0 {
			amount = e.s.amountAll()
		}
		e.pair(e.s.amountKey(class), strconv.Itoa(int(amount)))
		e.pair(class+transport.RetryKey, strconv.Itoa(int(c.Admission.Retry)))
		return
	}
	if c.Kind == reconcile.UpdateVersion {
		e.pair(e.s.link.front.opt.Classes[c.Class].Name+transport.VersionKey, c.VersionStamp)
		return
	}
	name, addr := e.s.link.front.opt.Names.Of(c.Server)
	switch c.Kind {
	case reconcile.AddEntry:
		e.next("")
		e.out = append(e.out, "add server "...)
		e.target(c.Class, name)
		e.out = append(e.out, ' ')
		e.out = haproxyapi.AppendWord(e.out, addr)
		e.out = append(e.out, " weight "...)
		e.out = strconv.AppendInt(e.out, int64(c.Weight), 10)
		e.state(c.Class, name, c.State) // a new server is in maintenance
	case reconcile.DeleteEntry:
		e.next("")
		e.out = append(e.out, "del server "...)
		e.target(c.Class, name)
	default:
		if host, port, err := net.SplitHostPort(addr); c.AddressChanged && err == nil {
			e.next("")
			e.out = append(e.out, "set server "...)
			e.target(c.Class, name)
			e.out = append(e.out, " addr "...)
			e.out = haproxyapi.AppendWord(e.out, host)
			e.out = append(e.out, " port "...)
			e.out = haproxyapi.AppendWord(e.out, port)
		}
		// What shuts out goes before the weight, what lets in after it.
		if c.State != reconcile.StateUnchanged && c.State != reconcile.StateReady {
			e.state(c.Class, name, c.State)
		}
		if c.Weight >= 0 {
			e.weight(c.Class, name, c.Weight)
		}
		if c.State == reconcile.StateReady {
			e.state(c.Class, name, c.State)
		}
	}
}
