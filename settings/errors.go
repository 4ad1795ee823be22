package settings

import "fmt"

// Problem is the kind of fault in a settings file.
type Problem int

//go:generate stringer -type=Problem -trimprefix=Problem

// Kinds of faults in a settings file.
const (
	// ProblemUnreadable means that the file cannot be read.
	ProblemUnreadable Problem = iota
	// ProblemSyntax means that the file is not valid TOML.
	ProblemSyntax
	// ProblemUnknownKey means that the process has no setting of that key.
	ProblemUnknownKey
	// ProblemMissing means that a required key is absent or empty.
	ProblemMissing
	// ProblemBadValue means that a value is of the wrong type or out of bounds.
	ProblemBadValue
)

// Error is a fault in a settings file.
type Error struct {
	file    string
	key     string
	problem Problem
	detail  string
}

// File returns the path of the settings file.
func (e *Error) File() string { return e.file }

// Key returns the dotted TOML key at fault. It is empty for ProblemUnreadable
// and ProblemSyntax, and if the TOML decoder reports none.
func (e *Error) Key() string { return e.key }

// Problem returns the kind of fault.
func (e *Error) Problem() Problem { return e.problem }

// Error returns `settings FILE: key "KEY": PROBLEM: DETAIL`, without the key if
// there is none.
func (e *Error) Error() string {
	if e.key == "" {
		return fmt.Sprintf("settings %s: %s: %s", e.file, e.problem, e.detail)
	}
	return fmt.Sprintf("settings %s: key %q: %s: %s", e.file, e.key, e.problem, e.detail)
}

// NewError returns the error of a fault in the settings file at path. The key is
// empty if the fault has none.
func NewError(path, key string, problem Problem, detail string) *Error {
	return &Error{file: path, key: key, problem: problem, detail: detail}
}
