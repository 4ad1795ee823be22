package balance

import "math/rand/v2"

// DrawFrom has the picker choose among equals by rng, so that a play repeats.
func (picker *Picker) DrawFrom(rng *rand.Rand) { picker.draw = rng.IntN }
