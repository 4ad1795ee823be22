package workload

import (
	"encoding/json"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Script is the content of a workload file: a set of programs, each a
// sequence of calls.
type Script struct {
	Name     string    `toml:"name"`
	Programs []Program `toml:"program"`
}

// Program is a scripted program. A program with Spawned set is started only
// by a spawn step of another program and runs concurrently with it.
type Program struct {
	ID                 string   `toml:"id"`
	BudgetTokens       int64    `toml:"budget_tokens"`
	Urgency            string   `toml:"urgency"`
	Deadline           string   `toml:"deadline"`
	NonIdempotentTools []string `toml:"non_idempotent_tools"`
	Spawned            bool     `toml:"spawned"`
	Steps              []Step   `toml:"step"`
}

// Step is a step of a program: a call, or the start of a spawned program.
type Step struct {
	// Kind is "model", "tool" or "spawn". Model, Content and MaxTokens are for
	// a model call, Tool and Arguments (a JSON text) for a tool call, and
	// Program is the ID of the program to spawn.
	Kind      string `toml:"kind"`
	Model     string `toml:"model"`
	Content   string `toml:"content"`
	MaxTokens int    `toml:"max_tokens"`
	Tool      string `toml:"tool"`
	Arguments string `toml:"arguments"`
	Program   string `toml:"program"`
}

// ScriptError is returned for a workload file that is unreadable or invalid.
type ScriptError struct {
	path   string
	detail string
}

// Error returns a message with the file's path and the reason.
func (e *ScriptError) Error() string { return fmt.Sprintf("workload %s: %s", e.path, e.detail) }

// Load reads and validates the workload file at path. It returns a
// *ScriptError if the file is unreadable, has an unknown key, or has a step
// of an unknown kind, with invalid arguments, or that spawns an undefined
// program.
func Load(path string) (*Script, error) {
	var s Script
	md, err := toml.DecodeFile(path, &s)
	if err != nil {
		return nil, &ScriptError{path: path, detail: err.Error()}
	}
	if undecoded := md.Undecoded(); len(undecoded) > 0 {
		return nil, &ScriptError{path: path, detail: fmt.Sprintf("unknown key %q", undecoded[0].String())}
	}
	ids := map[string]bool{}
	for _, p := range s.Programs {
		ids[p.ID] = true
	}
	for _, p := range s.Programs {
		for i, st := range p.Steps {
			switch {
			case st.Kind == "spawn" && !ids[st.Program]:
				return nil, &ScriptError{path: path, detail: fmt.Sprintf("program %s step %d: spawns undefined program %q", p.ID, i+1, st.Program)}
			case st.Kind == "tool" && st.Arguments != "" && !json.Valid([]byte(st.Arguments)):
				return nil, &ScriptError{path: path, detail: fmt.Sprintf("program %s step %d: arguments are not valid JSON", p.ID, i+1)}
			case st.Kind != "model" && st.Kind != "tool" && st.Kind != "spawn":
				return nil, &ScriptError{path: path, detail: fmt.Sprintf("program %s step %d: unknown kind %q", p.ID, i+1, st.Kind)}
			}
		}
	}
	return &s, nil
}

// program returns the program with the given ID, or nil if there is none.
func (s *Script) program(id string) *Program {
	for i := range s.Programs {
		if s.Programs[i].ID == id {
			return &s.Programs[i]
		}
	}
	return nil
}
