package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Phase is the phase of a run in which a program arrives.
type Phase int

//go:generate stringer -type=Phase -trimprefix=Phase

// Phases of a run.
const (
	// PhaseQuiet is the phase before the burst.
	PhaseQuiet Phase = iota
	// PhaseBurst is the phase with increased arrival rates.
	PhaseBurst
	// PhaseAfter is the phase after the burst.
	PhaseAfter
)

// turn is a model call of a program with its tool call and its sub-agent.
type turn struct {
	// content is the prompt text that the turn adds, of promptTokens tokens.
	content      string
	promptTokens int
	// delay is the time to wait before the turn.
	delay time.Duration
	// tool is the tool to call after the turn, or empty for none.
	tool string
	// subAgent is a program that runs concurrently with the model call, or
	// nil for none. The turn ends after both.
	subAgent *programPlan
}

// programPlan is a program generated at random from its shape: its arrival
// time since the start of the run, and its calls.
type programPlan struct {
	id      string
	shape   *ProgramShape
	phase   Phase
	arrival time.Duration
	// prefix is the number of the shared prefix, which starts the content of
	// the first turn.
	prefix int
	turns  []turn
	// callsOnceTool is whether the program ends with a call of OnceTool.
	callsOnceTool bool
	// idleTime is the estimated duration of the program on idle engines that
	// have its shared prefix cached.
	idleTime time.Duration
}

// vocabulary holds the words of the generated prompts.
var vocabulary = strings.Fields("airtime berth crew voyage dispute ledger roaming beam charge invoice master engineer " +
	"scooter battery brake porch pickup chair loan part fault booking carer clinic slot")

// words returns a text of n words that is a function of n and seed.
func words(n int, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 99))
	var b strings.Builder
	for range n {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// planPrograms generates the programs of the experiment, in order of arrival.
// The result is a function of the experiment.
func (x *Experiment) planPrograms() []*programPlan {
	var out []*programPlan
	for i := range x.Shapes {
		shape := &x.Shapes[i]
		rng := rand.New(rand.NewPCG(x.Seed, uint64(i)))
		arrival := time.Duration(0)
		for n := 0; ; n++ {
			_, rate := x.rateAt(arrival, shape.PerSecond)
			arrival += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if arrival >= x.Quiet+x.Burst+x.After {
				break
			}
			phase, _ := x.rateAt(arrival, shape.PerSecond)
			out = append(out, x.planProgram(rng, shape, fmt.Sprintf("%s-%d", shape.Name, n), phase, arrival))
		}
	}
	slices.SortFunc(out, func(a, b *programPlan) int { return int(a.arrival - b.arrival) })
	return out
}

// rateAt returns the phase at a time since the start of the run, and the
// arrival rate in this phase for a rate outside the burst.
func (x *Experiment) rateAt(at time.Duration, rate float64) (Phase, float64) {
	switch {
	case at < x.Quiet:
		return PhaseQuiet, rate
	case at < x.Quiet+x.Burst:
		return PhaseBurst, rate * x.BurstFactor
	}
	return PhaseAfter, rate
}

// planProgram generates a program with the given shape and ID that arrives in
// the given phase.
func (x *Experiment) planProgram(rng *rand.Rand, shape *ProgramShape, id string, phase Phase, arrival time.Duration) *programPlan {
	p := &programPlan{id: id, shape: shape, phase: phase, arrival: arrival, prefix: rng.IntN(shape.Prefixes), callsOnceTool: rng.Float64() < shape.OnceShare}
	turns := 1
	for turns < shape.MaxTurns && rng.Float64() >= 1/shape.MeanTurns {
		turns++
	}
	for i := range turns {
		t := turn{promptTokens: shape.InputTokens, content: words(shape.InputTokens, rng.Uint64())}
		if i > 0 {
			t.delay = time.Duration(rng.ExpFloat64() * float64(shape.MeanDelay))
		}
		if rng.Float64() < shape.ToolShare {
			t.tool = shape.Tool
		}
		if shape.SubTurns > 0 && rng.Float64() < shape.SubShare {
			t.subAgent = x.planSubAgent(rng, p, fmt.Sprintf("%s.%d", id, i))
		}
		p.turns = append(p.turns, t)
	}
	p.turns[0].content = words(shape.SharedTokens, uint64(p.prefix)<<8|uint64(len(shape.Name))) + p.turns[0].content
	p.turns[0].promptTokens += shape.SharedTokens
	p.idleTime = x.estimateIdleTime(p)
	return p
}

// planSubAgent generates a sub-agent: a separate program without tool calls
// that has its parent's shared prefix.
func (x *Experiment) planSubAgent(rng *rand.Rand, parent *programPlan, id string) *programPlan {
	shape := parent.shape
	p := &programPlan{id: id, shape: shape, phase: parent.phase, prefix: parent.prefix}
	for range shape.SubTurns {
		p.turns = append(p.turns, turn{promptTokens: shape.InputTokens, content: words(shape.InputTokens, rng.Uint64())})
	}
	p.turns[0].content = words(shape.SharedTokens, uint64(p.prefix)<<8|uint64(len(shape.Name))) + p.turns[0].content
	p.turns[0].promptTokens += shape.SharedTokens
	p.idleTime = x.estimateIdleTime(p)
	return p
}

// callOverhead is the estimated time that a call spends outside the engine or
// tool service.
const callOverhead = 10 * time.Millisecond

// estimateIdleTime returns the estimated duration of p on idle engines that
// have its shared prefix and its previous turns cached.
func (x *Experiment) estimateIdleTime(p *programPlan) time.Duration {
	var total time.Duration
	for i := range p.turns {
		t := &p.turns[i]
		duration := x.turnTime(p.shape)
		if t.subAgent != nil {
			duration = max(duration, t.subAgent.idleTime)
		}
		total += duration + t.delay
		if t.tool != "" {
			total += x.toolTime(t.tool)
		}
	}
	if p.callsOnceTool {
		total += x.toolTime(p.shape.OnceTool)
	}
	return total
}

// turnTime returns the estimated duration of a model call on an idle engine,
// with only the turn's own input to compute.
func (x *Experiment) turnTime(shape *ProgramShape) time.Duration {
	for i := range x.Engines {
		g := &x.Engines[i]
		if g.Model == shape.Model {
			steps := shape.AnswerTokens + (shape.InputTokens+g.PrefillTokens-1)/g.PrefillTokens
			return time.Duration(steps)*(g.Step+g.StepPerSequence) + callOverhead
		}
	}
	return callOverhead
}

// toolTime returns the estimated duration of a call of tool on an idle tool
// service.
func (x *Experiment) toolTime(tool string) time.Duration {
	for i := range x.Tools {
		if slices.Contains(x.Tools[i].Tools, tool) {
			return x.Tools[i].Work + callOverhead
		}
	}
	return callOverhead
}
