package program

import "fmt"

// Urgency is a program's scheduling class. Calls of a more urgent class are
// always scheduled before those of a less urgent one; alerts, for example,
// are urgent.
type Urgency int

//go:generate stringer -type=Urgency -trimprefix=Urgency -linecomment

// Urgency classes, from least to most urgent.
const (
	UrgencyBackground Urgency = iota // background
	UrgencyNormal                    // normal
	UrgencyUrgent                    // urgent
)

// ParseUrgency returns the class named s ("background", "normal" or
// "urgent"). The empty string means UrgencyNormal. Any other name results in
// an *UrgencyError.
func ParseUrgency(s string) (Urgency, error) {
	switch s {
	case "", "normal":
		return UrgencyNormal, nil
	case "background":
		return UrgencyBackground, nil
	case "urgent":
		return UrgencyUrgent, nil
	}
	return 0, &UrgencyError{name: s}
}

// UrgencyError is returned for an unknown name of an urgency class.
type UrgencyError struct{ name string }

// Error returns a message that quotes the unknown name.
func (e *UrgencyError) Error() string {
	return fmt.Sprintf("unknown urgency %q (want background, normal or urgent)", e.name)
}
