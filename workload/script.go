package workload

import (
	"encoding/json"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Script is a workload file: programs, each a chain of calls.
type Script struct {
	Name     string    `toml:"name"`
	Programs []Program `toml:"program"`
}

// Program is one scripted program. A Spawned program is started only by a
// spawn step of another and then runs beside it.
type Program struct {
	ID                 string   `toml:"id"`
	BudgetTokens       int64    `toml:"budget_tokens"`
	Urgency            string   `toml:"urgency"`
	Deadline           string   `toml:"deadline"`
	NonIdempotentTools []string `toml:"non_idempotent_tools"`
	Spawned            bool     `toml:"spawned"`
	Steps              []Step   `toml:"step"`
}

// Step is one call of a program, or the start of a spawned program.
type Step struct {
	// Kind is "model", "tool" or "spawn".
	Kind      string `toml:"kind"`
	Model     string `toml:"model"`
	Content   string `toml:"content"`
	MaxTokens int    `toml:"max_tokens"`
	Tool      string `toml:"tool"`
	Arguments string `toml:"arguments"`
	Program   string `toml:"program"`
}

// ScriptError is a workload file that cannot be played.
type ScriptError struct {
	path   string
	detail string
}

// Error names the file and the fault.
func (e *ScriptError) Error() string { return fmt.Sprintf("workload %s: %s", e.path, e.detail) }

// Load reads and checks a workload file.
func Load(path string) (*Script, error) {
	var s Script
	md, err := toml.DecodeFile(path, &s)
	if err != nil {
		return nil, &ScriptError{path: path, detail: err.Error()}
	}
	if und := md.Undecoded(); len(und) > 0 {
		return nil, &ScriptError{path: path, detail: fmt.Sprintf("unknown key %q", und[0].String())}
	}
	ids := map[string]bool{}
	for _, p := range s.Programs {
		ids[p.ID] = true
	}
	for _, p := range s.Programs {
		for i, st := range p.Steps {
			switch {
			case st.Kind == "spawn" && !ids[st.Program]:
				return nil, &ScriptError{path: path, detail: fmt.Sprintf("program %s step %d spawns unknown %q", p.ID, i+1, st.Program)}
			case st.Kind == "tool" && st.Arguments != "" && !json.Valid([]byte(st.Arguments)):
				return nil, &ScriptError{path: path, detail: fmt.Sprintf("program %s step %d: arguments are not JSON", p.ID, i+1)}
			case st.Kind != "model" && st.Kind != "tool" && st.Kind != "spawn":
				return nil, &ScriptError{path: path, detail: fmt.Sprintf("program %s step %d: kind %q", p.ID, i+1, st.Kind)}
			}
		}
	}
	return &s, nil
}

func (s *Script) find(id string) *Program {
	for i := range s.Programs {
		if s.Programs[i].ID == id {
			return &s.Programs[i]
		}
	}
	return nil
}
