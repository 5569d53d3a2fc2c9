package ingest

import (
	"fmt"

	"cressknot/internal/fleet"
)

const (
	turnWithin  = 50 * fleet.Millisecond // a turn's deadline: the module's interval is seconds, its urgent orders are not
	raiseGap    = fleet.Second           // between two steps up: what was shed needs a while to show
	calmFor     = 5 * fleet.Second       // without a miss before a step down
	pushedATurn = 512                    // pushed records that a turn takes: all of a fleet in two
	rowsATurn   = 100_000                // rows of counters that a turn takes: some 5 ms
)

// sheds is what is left at each level: reports go first, then polls, orders never.
var sheds = [...]struct {
	pushed, polls float64
	says          string
}{
	{1, 1, "all reports are heard"},
	{0.25, 1, "pushed reports are thinned to a quarter"},
	{0.1, 0.5, "pushed reports are thinned to a tenth, polls to half"},
	{0.02, 0.25, "pushed reports are thinned to a fiftieth, polls to a quarter"},
}

// Pace keeps turns within their deadline by what it lets in.
type Pace struct {
	level   int
	missed  fleet.Time // last miss
	changed fleet.Time
	misses  uint64
	worst   fleet.Time // since the last change
	news    []Notice
}

func newPace() Pace { return Pace{} }

// Took tells how long a turn took.
func (k *Pipeline) Took(now, took fleet.Time) { k.pace.took(now, took) }

func (p *Pace) took(now, took fleet.Time) {
	if took > turnWithin {
		p.misses++
		p.missed, p.worst = now, max(p.worst, took)
		if p.level < len(sheds)-1 && (p.changed == 0 || now >= p.changed+raiseGap) {
			p.set(now, p.level+1)
		}
	} else if p.level > 0 && now >= max(p.missed, p.changed)+calmFor {
		p.set(now, p.level-1)
	}
}

func (p *Pace) set(now fleet.Time, level int) {
	text := sheds[level].says
	if level > p.level {
		text = fmt.Sprintf("turns took up to %.0f ms, %.0f are the most: %s", p.worst.Seconds()*1000, turnWithin.Seconds()*1000, text)
	}
	p.news = append(p.news, Notice{OfAll: true, Good: level < p.level, Text: text})
	p.level, p.changed, p.worst = level, now, 0
}

func (p *Pace) notices() []Notice {
	n := p.news
	p.news = nil
	return n
}

func (p *Pace) polls() float64 { return sheds[p.level].polls }

// Room tells how many pushed records and rows of counters the next turn may take.
func (k *Pipeline) Room() (pushed, rows int) {
	return max(1, int(pushedATurn*sheds[k.pace.level].pushed)), rowsATurn
}

// Shed tells the level of shedding, how many turns missed their deadline, and what the level means.
func (k *Pipeline) Shed() (level int, misses uint64, says string) {
	return k.pace.level, k.pace.misses, sheds[k.pace.level].says
}
