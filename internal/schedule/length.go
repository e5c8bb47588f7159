package schedule

const (
	// initialTokensPerEvent converts expected tokens to events before any text is
	// complete. Engines send between 33 and 99 tokens in an event; 45 is typical.
	initialTokensPerEvent = 45
	// initialEventsWeight is the weight of initialTokensPerEvent, in events. About ten
	// complete items outweigh it.
	initialEventsWeight = 100
	// lengthDecay is the factor by which each new item discounts earlier observations, so
	// that about the last hundred items count.
	lengthDecay = 0.99
	// minRemainingRatio is the lower bound of an item's remaining events, as a fraction of
	// the events made so far: callers' estimates are right in the median, but often far
	// too low.
	minRemainingRatio = 0.15
)

// lengthEstimator estimates from complete texts how many tokens an event holds.
type lengthEstimator struct {
	tokens, events float64
}

func newLengthEstimator() lengthEstimator {
	return lengthEstimator{tokens: initialTokensPerEvent * initialEventsWeight, events: initialEventsWeight}
}

// observe records a complete text and the caller's estimate of its tokens, 0 for none.
func (l *lengthEstimator) observe(expectedTokens, events uint64) {
	if expectedTokens == 0 || events == 0 {
		return
	}
	l.tokens = lengthDecay*l.tokens + float64(expectedTokens)
	l.events = lengthDecay*l.events + float64(events)
}

// remainingEvents estimates how many more events an item will have, at least 1.
func (l *lengthEstimator) remainingEvents(entry *item) float64 {
	expected := float64(entry.spec.ExpectedTokens) * l.events / l.tokens
	return max(expected-float64(entry.events), minRemainingRatio*float64(entry.events), 1)
}
