package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Phase is the part of a run in which a program arrived.
type Phase int

//go:generate stringer -type=Phase -trimprefix=Phase

// Phases of a run.
const (
	PhaseQuiet Phase = iota
	PhaseBurst
	PhaseAfter
)

// turn is one model call of a drawn program and what follows it.
type turn struct {
	content string
	tokens  int
	// pause comes before the turn.
	pause time.Duration
	// tool is called after the turn if not empty.
	tool string
	// sub is a sub-agent started with the turn and waited for after it.
	sub *drawn
}

// drawn is a program as drawn from its shape.
type drawn struct {
	id    string
	shape *ProgramShape
	phase Phase
	at    time.Duration
	// prefix numbers the shared prefix; the first turn begins with it.
	prefix int
	turns  []turn
	once   bool
	// idle is the program's time on idle engines that hold its prefix.
	idle time.Duration
}

// vocabulary is what prompts are made of.
var vocabulary = strings.Fields("airtime berth crew voyage dispute ledger roaming beam charge invoice master engineer " +
	"scooter battery brake porch pickup chair loan part fault booking carer clinic slot")

// words returns n words determined by seed.
func words(n int, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 99))
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// draw draws every program of the experiment, in order of arrival. The
// same experiment always draws the same programs.
func (x *Experiment) draw() []*drawn {
	var out []*drawn
	for i := range x.Kinds {
		shape := &x.Kinds[i]
		rng := rand.New(rand.NewPCG(x.Seed, uint64(i)))
		at := time.Duration(0)
		for n := 0; ; n++ {
			_, rate := x.rateAt(at, shape.PerSecond)
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= x.Quiet+x.Burst+x.After {
				break
			}
			phase, _ := x.rateAt(at, shape.PerSecond)
			out = append(out, x.drawOne(rng, shape, fmt.Sprintf("%s-%d", shape.Name, n), phase, at))
		}
	}
	slices.SortFunc(out, func(a, b *drawn) int { return int(a.at - b.at) })
	return out
}

func (x *Experiment) rateAt(at time.Duration, rate float64) (Phase, float64) {
	switch {
	case at < x.Quiet:
		return PhaseQuiet, rate
	case at < x.Quiet+x.Burst:
		return PhaseBurst, rate * x.BurstFactor
	}
	return PhaseAfter, rate
}

func (x *Experiment) drawOne(rng *rand.Rand, shape *ProgramShape, id string, phase Phase, at time.Duration) *drawn {
	p := &drawn{id: id, shape: shape, phase: phase, at: at, prefix: rng.IntN(shape.Prefixes), once: rng.Float64() < shape.OnceShare}
	turns := 1
	for turns < shape.MostTurns && rng.Float64() >= 1/shape.Turns {
		turns++
	}
	for i := range turns {
		t := turn{tokens: shape.InputTokens, content: words(shape.InputTokens, rng.Uint64())}
		if i > 0 {
			t.pause = time.Duration(rng.ExpFloat64() * float64(shape.Pause))
		}
		if rng.Float64() < shape.ToolShare {
			t.tool = shape.Tool
		}
		if shape.SubTurns > 0 && rng.Float64() < shape.SubShare {
			t.sub = x.drawSub(rng, p, fmt.Sprintf("%s.%d", id, i))
		}
		p.turns = append(p.turns, t)
	}
	p.turns[0].content = words(shape.SharedTokens, uint64(p.prefix)<<8|uint64(len(shape.Name))) + p.turns[0].content
	p.turns[0].tokens += shape.SharedTokens
	p.idle = x.idleTime(p)
	return p
}

// drawSub draws a sub-agent: a short program of its own on its parent's
// prefix, without tools.
func (x *Experiment) drawSub(rng *rand.Rand, parent *drawn, id string) *drawn {
	shape := parent.shape
	p := &drawn{id: id, shape: shape, phase: parent.phase, prefix: parent.prefix}
	for range shape.SubTurns {
		p.turns = append(p.turns, turn{tokens: shape.InputTokens, content: words(shape.InputTokens, rng.Uint64())})
	}
	p.turns[0].content = words(shape.SharedTokens, uint64(p.prefix)<<8|uint64(len(shape.Name))) + p.turns[0].content
	p.turns[0].tokens += shape.SharedTokens
	p.idle = x.idleTime(p)
	return p
}

// wayTime is allowed for the way of one call through the system.
const wayTime = 10 * time.Millisecond

// idleTime estimates a program's time on idle engines that hold what it
// has in common with others and what it sent before.
func (x *Experiment) idleTime(p *drawn) time.Duration {
	var total time.Duration
	for i := range p.turns {
		t := &p.turns[i]
		own := x.turnTime(p.shape)
		if t.sub != nil {
			own = max(own, t.sub.idle)
		}
		total += own + t.pause
		if t.tool != "" {
			total += x.toolTime(t.tool)
		}
	}
	if p.once {
		total += x.toolTime(p.shape.OnceTool)
	}
	return total
}

func (x *Experiment) turnTime(shape *ProgramShape) time.Duration {
	for i := range x.Engines {
		g := &x.Engines[i]
		if g.Model == shape.Model {
			steps := shape.AnswerTokens + (shape.InputTokens+g.PrefillTokens-1)/g.PrefillTokens
			return time.Duration(steps)*(g.Step+g.StepPerSequence) + wayTime
		}
	}
	return wayTime
}

func (x *Experiment) toolTime(tool string) time.Duration {
	for i := range x.Tools {
		if slices.Contains(x.Tools[i].Tools, tool) {
			return x.Tools[i].Work + wayTime
		}
	}
	return wayTime
}
