package settings

import "fmt"

// Problem is the kind of fault found in a settings file.
type Problem int

//go:generate stringer -type=Problem -trimprefix=Problem

// Problems a settings file can have.
const (
	ProblemUnreadable Problem = iota
	ProblemSyntax
	ProblemUnknownKey
	ProblemMissing
	ProblemBadValue
)

// Error is a fault in a settings file. Key is the dotted TOML key at fault,
// empty for ProblemUnreadable and ProblemSyntax.
type Error struct {
	file    string
	key     string
	problem Problem
	detail  string
}

// File returns the path of the settings file.
func (e *Error) File() string { return e.file }

// Key returns the dotted TOML key at fault.
func (e *Error) Key() string { return e.key }

// Problem returns the kind of fault.
func (e *Error) Problem() Problem { return e.problem }

// Error returns "settings FILE: KEY: PROBLEM: DETAIL".
func (e *Error) Error() string {
	if e.key == "" {
		return fmt.Sprintf("settings %s: %s: %s", e.file, e.problem, e.detail)
	}
	return fmt.Sprintf("settings %s: key %q: %s: %s", e.file, e.key, e.problem, e.detail)
}

// NewError returns the fault of key in the settings file at path.
func NewError(path, key string, problem Problem, detail string) *Error {
	return &Error{file: path, key: key, problem: problem, detail: detail}
}
