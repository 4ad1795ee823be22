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

// lastKeyPattern matches the key in the text of an error of the TOML decoder.
var lastKeyPattern = regexp.MustCompile(`last key "([^"]+)"`)

// Validator is implemented by settings types. Check sets the defaults of optional
// keys and records each fault with c.
type Validator interface {
	Check(c *Checker)
}

// Load decodes the TOML file at path into a new T and validates it. It returns an
// *Error for an unreadable file, a syntax error, a value of the wrong type, the
// first unknown key, or the first fault recorded by T's Check.
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

// Decode is like Load for the content of a file. The name stands for the path in
// errors.
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

// DecodeLenient decodes TOML text into v without validating it, and ignores unknown
// keys. It returns an *Error for a syntax error or a value of the wrong type. The
// name stands for the path in errors.
func DecodeLenient(name, data string, v any) error {
	if _, fault := decode(name, data, v); fault != nil {
		return fault
	}
	return nil
}

// decode decodes TOML text into v. A value of the wrong type is reported as
// ProblemBadValue with its key.
func decode(name, data string, v any) (toml.MetaData, *Error) {
	// The first pass checks the syntax only, so that an error of the second pass
	// is a value of the wrong type.
	var raw map[string]any
	if _, err := toml.Decode(data, &raw); err != nil {
		return toml.MetaData{}, &Error{file: name, problem: ProblemSyntax, detail: err.Error()}
	}
	md, err := toml.Decode(data, v)
	if err == nil {
		return md, nil
	}
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return md, &Error{file: name, key: parseError.LastKey, problem: ProblemBadValue, detail: parseError.Message}
	}
	// The decoder reports some type mismatches as an untyped error, with the
	// key only in its text.
	key := ""
	if match := lastKeyPattern.FindStringSubmatch(err.Error()); match != nil {
		key = match[1]
	}
	return md, &Error{file: name, key: key, problem: ProblemBadValue, detail: err.Error()}
}

// Checker records the first fault that a Validator finds; later faults are
// ignored. Its methods take the dotted TOML key of the value to check.
type Checker struct {
	file  string
	first *Error
}

// record records a fault unless one is recorded already.
func (c *Checker) record(key string, p Problem, format string, args ...any) {
	if c.first == nil {
		c.first = &Error{file: c.file, key: key, problem: p, detail: fmt.Sprintf(format, args...)}
	}
}

// Required records ProblemMissing if value is empty. It reports whether value is
// set.
func (c *Checker) Required(key, value string) bool {
	if value == "" {
		c.record(key, ProblemMissing, "required")
		return false
	}
	return true
}

// HostPort records ProblemMissing if value is empty, and ProblemBadValue unless
// it has the form host:port.
func (c *Checker) HostPort(key, value string) {
	if !c.Required(key, value) {
		return
	}
	if _, _, err := net.SplitHostPort(value); err != nil {
		c.record(key, ProblemBadValue, "must be host:port, got %q", value)
	}
}

// URL records ProblemMissing if value is empty, and ProblemBadValue unless it is
// an absolute http or https URL.
func (c *Checker) URL(key, value string) {
	if !c.Required(key, value) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.record(key, ProblemBadValue, "must be an http:// or https:// URL, got %q", value)
	}
}

// Positive records ProblemBadValue unless d > 0.
func (c *Checker) Positive(key string, d time.Duration) {
	if d <= 0 {
		c.record(key, ProblemBadValue, "must be a positive duration such as \"1s\", got %s", d)
	}
}

// AtLeast records ProblemBadValue unless n >= lowest.
func (c *Checker) AtLeast(key string, n, minimum int) {
	if n < minimum {
		c.record(key, ProblemBadValue, "must be at least %d, got %d", minimum, n)
	}
}

// Between records ProblemBadValue unless lowest <= n <= highest.
func (c *Checker) Between(key string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		c.record(key, ProblemBadValue, "must be from %d to %d, got %d", minimum, maximum, n)
	}
}

// AtMost records ProblemBadValue unless d <= longest.
func (c *Checker) AtMost(key string, d, maximum time.Duration) {
	if d > maximum {
		c.record(key, ProblemBadValue, "must be at most %s, got %s", maximum, d)
	}
}

// True records ProblemBadValue unless ok, with a detail formatted from format and
// args.
func (c *Checker) True(key string, ok bool, format string, args ...any) {
	if !ok {
		c.record(key, ProblemBadValue, format, args...)
	}
}

// OneOf records ProblemBadValue unless value is in allowed.
func (c *Checker) OneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.record(key, ProblemBadValue, "must be one of %v, got %q", allowed, value)
}
