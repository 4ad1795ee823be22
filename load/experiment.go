package load

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

// Bounds of an experiment.
const (
	maxTime     = 5 * time.Minute
	maxPrograms = 100_000
	maxPerGroup = 64
)

// Experiment is a deployment and the programs to run on it, as read from a
// TOML file.
type Experiment struct {
	Name string `toml:"name"`
	// Seed seeds every random choice.
	Seed uint64 `toml:"seed"`
	// Quiet, Burst and After are the lengths of the phases in which programs
	// arrive; BurstFactor multiplies the rates during the burst.
	Quiet       time.Duration `toml:"quiet"`
	Burst       time.Duration `toml:"burst"`
	After       time.Duration `toml:"after"`
	BurstFactor float64       `toml:"burst_factor"`
	// Entries is the number of entry instances.
	Entries int            `toml:"entries"`
	Engines []EngineGroup  `toml:"engine"`
	Tools   []ToolGroup    `toml:"tool"`
	Kinds   []ProgramShape `toml:"program"`
}

// EngineGroup is a number of equal engines.
type EngineGroup struct {
	Model           string        `toml:"model"`
	Count           int           `toml:"count"`
	Step            time.Duration `toml:"step"`
	StepPerSequence time.Duration `toml:"step_per_sequence"`
	// Slots is how many requests an engine runs at once, and Admit how many
	// its sidecar lets through; UrgentOnly of these are kept for urgent
	// calls.
	Slots      int `toml:"slots"`
	Admit      int `toml:"admit"`
	UrgentOnly int `toml:"urgent_only"`
	// PrefillTokens are read per step; CacheTokens is the cache's size.
	PrefillTokens int `toml:"prefill_tokens"`
	CacheTokens   int `toml:"cache_tokens"`
}

// ToolGroup is a number of equal tool services.
type ToolGroup struct {
	Name  string        `toml:"name"`
	Tools []string      `toml:"tools"`
	Count int           `toml:"count"`
	Work  time.Duration `toml:"work"`
	Slots int           `toml:"slots"`
}

// ProgramShape is a kind of program. What a program of it does is drawn at
// random and unknown to the system in advance.
type ProgramShape struct {
	Name      string  `toml:"name"`
	PerSecond float64 `toml:"per_second"`
	Urgency   string  `toml:"urgency"`
	Model     string  `toml:"model"`
	// Prefixes is how many different shared prefixes of SharedTokens there
	// are; a program uses one of them.
	Prefixes     int `toml:"prefixes"`
	SharedTokens int `toml:"shared_tokens"`
	// InputTokens come in and AnswerTokens out with each turn.
	InputTokens  int `toml:"input_tokens"`
	AnswerTokens int `toml:"answer_tokens"`
	// Turns is the mean number of turns (geometric), at most MostTurns.
	Turns     float64 `toml:"turns"`
	MostTurns int     `toml:"most_turns"`
	// Pause is the mean pause between turns (exponential).
	Pause time.Duration `toml:"pause"`
	// Tool is called after a turn with probability ToolShare; OnceTool, not
	// idempotent, at the end with probability OnceShare.
	Tool      string  `toml:"tool"`
	ToolShare float64 `toml:"tool_share"`
	OnceTool  string  `toml:"once_tool"`
	OnceShare float64 `toml:"once_share"`
	// A turn starts a sub-agent of SubTurns turns with probability SubShare.
	SubShare float64 `toml:"sub_share"`
	SubTurns int     `toml:"sub_turns"`
	// Aim is what a program may take beyond AimFactor times its time on idle
	// engines and still be in time.
	Aim       time.Duration `toml:"aim"`
	AimFactor float64       `toml:"aim_factor"`
}

// Load reads and checks the experiment file at path; faults are
// *settings.Error.
func Load(path string) (*Experiment, error) { return settings.Load[Experiment](path) }

// Check implements settings.Validator.
func (x *Experiment) Check(c *settings.Checker) {
	c.Required("name", x.Name)
	c.Positive("quiet", x.Quiet)
	c.Positive("burst", x.Burst)
	c.Positive("after", x.After)
	c.AtMost("quiet+burst+after", x.Quiet+x.Burst+x.After, maxTime)
	c.AtLeast("burst_factor", int(x.BurstFactor), 1)
	c.AtLeast("entries", x.Entries, 1)
	models := map[string]bool{}
	for _, g := range x.Engines {
		c.Required("engine.model", g.Model)
		c.Between("engine.count", g.Count, 1, maxPerGroup)
		c.Positive("engine.step", g.Step)
		c.AtLeast("engine.slots", g.Slots, 1)
		c.AtLeast("engine.admit", g.Admit, 1+g.UrgentOnly)
		c.AtLeast("engine.prefill_tokens", g.PrefillTokens, 1)
		c.AtLeast("engine.cache_tokens", g.CacheTokens, blockTokens)
		models[g.Model] = true
	}
	tools := map[string]bool{"": true}
	for _, g := range x.Tools {
		c.Required("tool.name", g.Name)
		c.Between("tool.count", g.Count, 1, maxPerGroup)
		c.AtLeast("tool.slots", g.Slots, 1)
		for _, t := range g.Tools {
			tools[t] = true
		}
	}
	c.AtLeast("program", len(x.Kinds), 1)
	expected := 0.0
	for _, k := range x.Kinds {
		c.Required("program.name", k.Name)
		c.True("program.model", models[k.Model], "no engine of model %q", k.Model)
		c.True("program.tool", tools[k.Tool] && tools[k.OnceTool], "tools %q, %q: not of any tool service", k.Tool, k.OnceTool)
		c.AtLeast("program.prefixes", k.Prefixes, 1)
		c.AtLeast("program.input_tokens", k.InputTokens, 1)
		c.AtLeast("program.answer_tokens", k.AnswerTokens, 1)
		c.AtLeast("program.most_turns", k.MostTurns, 1)
		c.True("program.turns", k.Turns >= 1, "must be at least 1, got %g", k.Turns)
		_, err := program.ParseUrgency(k.Urgency)
		c.True("program.urgency", err == nil, "not an urgency: %q", k.Urgency)
		expected += k.PerSecond * (x.Quiet.Seconds() + x.BurstFactor*x.Burst.Seconds() + x.After.Seconds())
	}
	c.True("program.per_second", expected <= maxPrograms, "%.0f programs expected, at most %d allowed", expected, maxPrograms)
}
