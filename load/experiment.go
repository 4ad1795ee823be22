package load

import (
	"time"

	"github.com/wagtaildrum/wagtaildrum/program"
	"github.com/wagtaildrum/wagtaildrum/settings"
)

// Limits of an experiment.
const (
	// maxTime is the maximum sum of the lengths of the phases.
	maxTime = 5 * time.Minute
	// maxPrograms is the maximum expected number of programs.
	maxPrograms = 100_000
	// maxPerGroup is the maximum number of engines or tool services in a
	// group.
	maxPerGroup = 64
)

// Experiment is the content of an experiment file in TOML: a deployment and
// the programs to run on it.
type Experiment struct {
	Name string `toml:"name"`
	// Seed is the seed of the programs' random generation.
	Seed uint64 `toml:"seed"`
	// Quiet, Burst and After are the lengths of the phases in which programs
	// arrive. During the burst, the arrival rates are multiplied by
	// BurstFactor.
	Quiet       time.Duration `toml:"quiet"`
	Burst       time.Duration `toml:"burst"`
	After       time.Duration `toml:"after"`
	BurstFactor float64       `toml:"burst_factor"`
	// Entries is the number of entry instances.
	Entries int           `toml:"entries"`
	Engines []EngineGroup `toml:"engine"`
	Tools   []ToolGroup   `toml:"tool"`
	// Shapes are the kinds of programs.
	Shapes []ProgramShape `toml:"program"`
}

// EngineGroup is a set of Count identical engines that serve a model.
type EngineGroup struct {
	Model string `toml:"model"`
	Count int    `toml:"count"`
	// A batch step takes Step, plus StepPerSequence for each sequence in the
	// batch.
	Step            time.Duration `toml:"step"`
	StepPerSequence time.Duration `toml:"step_per_sequence"`
	// Slots is the maximum batch size of an engine, and Admit the maximum
	// number of concurrent calls that its sidecar admits, UrgentOnly of which
	// are reserved for urgent calls.
	Slots      int `toml:"slots"`
	Admit      int `toml:"admit"`
	UrgentOnly int `toml:"urgent_only"`
	// PrefillTokens is the maximum number of prompt tokens computed in a
	// step, and CacheTokens the capacity of the prefix cache.
	PrefillTokens int `toml:"prefill_tokens"`
	CacheTokens   int `toml:"cache_tokens"`
}

// ToolGroup is a set of Count identical tool services. Each offers Tools, a
// call of which takes Work, and its sidecar admits Slots concurrent calls.
type ToolGroup struct {
	Name  string        `toml:"name"`
	Tools []string      `toml:"tools"`
	Count int           `toml:"count"`
	Work  time.Duration `toml:"work"`
	Slots int           `toml:"slots"`
}

// ProgramShape is a kind of program: the distributions from which the calls
// of its programs are drawn. The system under test has no access to it.
type ProgramShape struct {
	Name string `toml:"name"`
	// PerSecond is the mean arrival rate (Poisson) outside the burst.
	PerSecond float64 `toml:"per_second"`
	Urgency   string  `toml:"urgency"`
	Model     string  `toml:"model"`
	// Prefixes is the number of distinct shared prefixes of SharedTokens
	// tokens. The prompt of a program starts with one of them.
	Prefixes     int `toml:"prefixes"`
	SharedTokens int `toml:"shared_tokens"`
	// InputTokens and AnswerTokens are the numbers of tokens that each turn
	// adds to the prompt and generates.
	InputTokens  int `toml:"input_tokens"`
	AnswerTokens int `toml:"answer_tokens"`
	// MeanTurns is the mean number of turns (geometric), before the number is
	// limited to MaxTurns.
	MeanTurns float64 `toml:"turns"`
	MaxTurns  int     `toml:"most_turns"`
	// MeanDelay is the mean delay between turns (exponential).
	MeanDelay time.Duration `toml:"pause"`
	// Tool is called after a turn with probability ToolShare. OnceTool, which
	// is not idempotent, is called after the last turn with probability
	// OnceShare.
	Tool      string  `toml:"tool"`
	ToolShare float64 `toml:"tool_share"`
	OnceTool  string  `toml:"once_tool"`
	OnceShare float64 `toml:"once_share"`
	// SubShare is the probability that a turn starts a sub-agent, which has
	// SubTurns turns.
	SubShare float64 `toml:"sub_share"`
	SubTurns int     `toml:"sub_turns"`
	// The latency target of a program is LatencyAllowance plus IdleTimeFactor
	// times its estimated duration on idle engines.
	LatencyAllowance time.Duration `toml:"aim"`
	IdleTimeFactor   float64       `toml:"aim_factor"`
}

// Load reads and validates the experiment file at path. It returns a
// *settings.Error that names the key if the file is invalid.
func Load(path string) (*Experiment, error) { return settings.Load[Experiment](path) }

// Check implements settings.Validator. It reports values out of bounds and
// names of undefined models and tools.
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
	c.AtLeast("program", len(x.Shapes), 1)
	expected := 0.0
	for _, k := range x.Shapes {
		c.Required("program.name", k.Name)
		c.True("program.model", models[k.Model], "no engine group serves model %q", k.Model)
		c.True("program.tool", tools[k.Tool] && tools[k.OnceTool], "tool %q or %q is not offered by any tool group", k.Tool, k.OnceTool)
		c.AtLeast("program.prefixes", k.Prefixes, 1)
		c.AtLeast("program.input_tokens", k.InputTokens, 1)
		c.AtLeast("program.answer_tokens", k.AnswerTokens, 1)
		c.AtLeast("program.most_turns", k.MaxTurns, 1)
		c.True("program.turns", k.MeanTurns >= 1, "must be at least 1, got %g", k.MeanTurns)
		_, err := program.ParseUrgency(k.Urgency)
		c.True("program.urgency", err == nil, "unknown urgency %q", k.Urgency)
		expected += k.PerSecond * (x.Quiet.Seconds() + x.BurstFactor*x.Burst.Seconds() + x.After.Seconds())
	}
	c.True("program.per_second", expected <= maxPrograms, "%.0f programs expected, at most %d allowed", expected, maxPrograms)
}
