package balance

import "math/rand/v2"

// SetRand makes the picker choose among equal endpoints with rng, which makes
// a simulation repeatable.
func (picker *Picker) SetRand(rng *rand.Rand) { picker.randIntN = rng.IntN }
