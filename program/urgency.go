package program

import "fmt"

// Urgency is a program's scheduling class. A more urgent class always goes
// before a less urgent one (Sul's loan-chair alerts are Urgent).
type Urgency int

//go:generate stringer -type=Urgency -trimprefix=Urgency -linecomment

// Urgency classes, from least to most urgent.
const (
	UrgencyBackground Urgency = iota // background
	UrgencyNormal                    // normal
	UrgencyUrgent                    // urgent
)

// ParseUrgency returns the class named s ("background", "normal",
// "urgent"); the empty string means UrgencyNormal.
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

// UrgencyError reports an urgency class name that is not known.
type UrgencyError struct{ name string }

// Error names the unknown class.
func (e *UrgencyError) Error() string {
	return fmt.Sprintf("unknown urgency %q (want background, normal or urgent)", e.name)
}
