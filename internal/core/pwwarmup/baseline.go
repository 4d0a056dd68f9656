package pwwarmup

import "time"

// minSamples is the number of observations from which a baseline is used.
const minSamples = 8

// baseline is a moving average of one kind of observation, in nanoseconds, that
// represents the normal time of a warm server.
type baseline struct {
	// fallWeight and riseWeight are the weights of a new observation below and
	// above the value.
	fallWeight, riseWeight float64
	value                  float64
	samples                int
}

var (
	// stepBaseline is the initial baseline of decoding steps. It falls faster than
	// it rises. Times observed while the server was cold are therefore corrected
	// soon, and a server that slows down gradually doesn't raise its own baseline.
	stepBaseline = baseline{
		fallWeight: 1.0 / 4,
		riseWeight: 1.0 / 32,
	}
	// firstTokenBaseline is the initial baseline of first-token times. It follows
	// the larger observations, so that a prefix cache miss among many hits doesn't
	// count as slow. If nine of ten prompts hit the cache and take a tenth of the
	// time, the value stays at two thirds of the time of a miss. After 100
	// consecutive hits it is at half of that time.
	firstTokenBaseline = baseline{
		fallWeight: 1.0 / 128,
		riseWeight: 1.0 / 8,
	}
)

// isSlow reports whether an observation exceeds the baseline by more than factor. It
// returns false until there are enough samples.
func (b *baseline) isSlow(observation time.Duration, factor float64) bool {
	return b.samples >= minSamples && float64(observation) > factor*b.value
}

// update adds an observation to the baseline.
func (b *baseline) update(observation time.Duration) {
	x := float64(observation)
	switch {
	case b.samples < minSamples:
		b.value += (x - b.value) / float64(b.samples+1)
		b.samples++
	case x < b.value:
		b.value += b.fallWeight * (x - b.value)
	default:
		b.value += b.riseWeight * (x - b.value)
	}
}
