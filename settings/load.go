package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/BurntSushi/toml"
)

var lastKey = regexp.MustCompile(`last key "([^"]+)"`)

// Validator is a settings type that can check itself after decoding.
// Check adds each fault to c.
type Validator interface {
	Check(c *Checker)
}

// Load decodes the TOML file at path into a new T and checks it. It returns
// a *Error for an unreadable file, a syntax error, the first unknown key,
// or the first fault that T's Check finds.
func Load[T any, PT interface {
	*T
	Validator
}](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{file: path, problem: ProblemUnreadable, detail: err.Error()}
	}
	return Decode[T, PT](path, string(data))
}

// Decode is Load for settings already read; name is used in errors.
func Decode[T any, PT interface {
	*T
	Validator
}](name, data string) (*T, error) {
	v := PT(new(T))
	md, fault := decode(name, data, v)
	if fault != nil {
		return nil, fault
	}
	if undecoded := md.Undecoded(); len(undecoded) > 0 {
		return nil, &Error{file: name, key: undecoded[0].String(), problem: ProblemUnknownKey, detail: "not a setting of this process"}
	}
	c := &Checker{file: name}
	v.Check(c)
	if c.first != nil {
		return nil, c.first
	}
	return (*T)(v), nil
}

// DecodeOpen decodes TOML text into v, ignoring keys that v does not have.
// It returns a *Error for a syntax error or a value of the wrong type.
func DecodeOpen(name, data string, v any) error {
	if _, fault := decode(name, data, v); fault != nil {
		return fault
	}
	return nil
}

func decode(name, data string, v any) (toml.MetaData, *Error) {
	// First pass: syntax only. Whatever fails in the second pass is then
	// a value of the wrong type for its key.
	var raw map[string]any
	if _, err := toml.Decode(data, &raw); err != nil {
		return toml.MetaData{}, &Error{file: name, problem: ProblemSyntax, detail: err.Error()}
	}
	md, err := toml.Decode(data, v)
	if err == nil {
		return md, nil
	}
	var perr toml.ParseError
	if errors.As(err, &perr) {
		return md, &Error{file: name, key: perr.LastKey, problem: ProblemBadValue, detail: perr.Message}
	}
	// A value of the wrong TOML type comes back as a plain error that
	// names the key only in its text.
	key := ""
	if m := lastKey.FindStringSubmatch(err.Error()); m != nil {
		key = m[1]
	}
	return md, &Error{file: name, key: key, problem: ProblemBadValue, detail: err.Error()}
}

// Checker collects the first fault found by a Validator.
type Checker struct {
	file  string
	first *Error
}

func (c *Checker) fail(key string, p Problem, format string, args ...any) {
	if c.first == nil {
		c.first = &Error{file: c.file, key: key, problem: p, detail: fmt.Sprintf(format, args...)}
	}
}

// Required records ProblemMissing if value is empty.
func (c *Checker) Required(key, value string) bool {
	if value == "" {
		c.fail(key, ProblemMissing, "required")
		return false
	}
	return true
}

// HostPort records a fault unless value is a required "host:port".
func (c *Checker) HostPort(key, value string) {
	if !c.Required(key, value) {
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.fail(key, ProblemBadValue, "want host:port, got %q", value)
	}
}

// URL records a fault unless value is a required absolute http(s) URL.
func (c *Checker) URL(key, value string) {
	if !c.Required(key, value) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail(key, ProblemBadValue, "want an http:// or https:// URL, got %q", value)
	}
}

// Positive records ProblemBadValue unless d > 0.
func (c *Checker) Positive(key string, d time.Duration) {
	if d <= 0 {
		c.fail(key, ProblemBadValue, "must be a positive duration such as \"1s\", got %s", d)
	}
}

// AtLeast records ProblemBadValue unless n >= lowest.
func (c *Checker) AtLeast(key string, n, lowest int) {
	if n < lowest {
		c.fail(key, ProblemBadValue, "must be at least %d, got %d", lowest, n)
	}
}

// Between records ProblemBadValue unless lowest <= n <= highest.
func (c *Checker) Between(key string, n, lowest, highest int) {
	if n < lowest || n > highest {
		c.fail(key, ProblemBadValue, "must be from %d to %d, got %d", lowest, highest, n)
	}
}

// AtMost records ProblemBadValue unless d <= longest.
func (c *Checker) AtMost(key string, d, longest time.Duration) {
	if d > longest {
		c.fail(key, ProblemBadValue, "must be at most %s, got %s", longest, d)
	}
}

// True records ProblemBadValue, described by format, unless ok.
func (c *Checker) True(key string, ok bool, format string, args ...any) {
	if !ok {
		c.fail(key, ProblemBadValue, format, args...)
	}
}

// OneOf records ProblemBadValue unless value is one of allowed.
func (c *Checker) OneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.fail(key, ProblemBadValue, "want one of %v, got %q", allowed, value)
}
