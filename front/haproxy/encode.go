package haproxy

import (
	"net"
	"strconv"

	"cressknot/fleet"
	"cressknot/front"
	"cressknot/runtimeapi"
	"cressknot/steer"
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
	case len(e.out)-e.line > runtimeapi.LineMost-roomForOne:
		e.out = append(e.out, '\n')
		e.line = len(e.out)
	default:
		e.out = append(e.out, ';')
	}
	e.n++
	e.s.expect = append(e.s.expect, expectation{what: toChange, seq: e.seq, index: e.index, key: key})
}

func (e *encoder) target(class fleet.ClassID, name string) {
	e.out = runtimeapi.AppendWord(e.out, e.s.link.front.opt.Classes[class].Backend)
	e.out = append(e.out, '/')
	e.out = runtimeapi.AppendWord(e.out, name)
}

func (e *encoder) weight(class fleet.ClassID, name string, weight int16) {
	e.next("")
	e.out = append(e.out, "set server "...)
	e.target(class, name)
	e.out = append(e.out, " weight "...)
	e.out = strconv.AppendInt(e.out, int64(weight), 10)
}

func (e *encoder) state(class fleet.ClassID, name string, state steer.State) {
	e.next("")
	e.out = append(e.out, "set server "...)
	e.target(class, name)
	switch state {
	case steer.In:
		e.out = append(e.out, " state ready"...)
	case steer.Drain:
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
	e.out = runtimeapi.AppendWord(e.out, e.s.link.front.opt.Map)
	e.out = append(e.out, ' ')
	e.out = runtimeapi.AppendWord(e.out, key)
	e.out = append(e.out, ' ')
	e.out = runtimeapi.AppendWord(e.out, value)
}

func (e *encoder) change(c *steer.Change) {
	if c.Kind == steer.SetLevels {
		class := e.s.link.front.opt.Classes[c.Class].Name
		amount := c.Level.Amount
		if amount < 0 {
			amount = e.s.amountAll()
		}
		e.pair(e.s.amountKey(class), strconv.Itoa(int(amount)))
		e.pair(class+front.RetryKey, strconv.Itoa(int(c.Level.Retry)))
		return
	}
	if c.Kind == steer.SetVersion {
		e.pair(e.s.link.front.opt.Classes[c.Class].Name+front.VersionKey, c.Stamp)
		return
	}
	name, addr := e.s.link.front.opt.Names.Of(c.Server)
	switch c.Kind {
	case steer.AddLine:
		e.next("")
		e.out = append(e.out, "add server "...)
		e.target(c.Class, name)
		e.out = append(e.out, ' ')
		e.out = runtimeapi.AppendWord(e.out, addr)
		e.out = append(e.out, " weight "...)
		e.out = strconv.AppendInt(e.out, int64(c.Weight), 10)
		e.state(c.Class, name, c.State) // a new server is in maintenance
	case steer.DelLine:
		e.next("")
		e.out = append(e.out, "del server "...)
		e.target(c.Class, name)
	default:
		if host, port, err := net.SplitHostPort(addr); c.Moved && err == nil {
			e.next("")
			e.out = append(e.out, "set server "...)
			e.target(c.Class, name)
			e.out = append(e.out, " addr "...)
			e.out = runtimeapi.AppendWord(e.out, host)
			e.out = append(e.out, " port "...)
			e.out = runtimeapi.AppendWord(e.out, port)
		}
		// What shuts out goes before the weight, what lets in after it.
		if c.State != steer.Stays && c.State != steer.In {
			e.state(c.Class, name, c.State)
		}
		if c.Weight >= 0 {
			e.weight(c.Class, name, c.Weight)
		}
		if c.State == steer.In {
			e.state(c.Class, name, c.State)
		}
	}
}
