package schedule

const (
	// assumedTokensPerEvent turns expected tokens into events before any text was
	// complete: about the mean of the engines seen (33, 45 and 99).
	assumedTokensPerEvent = 45
	// assumedEvents is the weight of that assumption, in events; some ten items
	// outweigh it.
	assumedEvents = 100
	// lengthMemory is the share of what was learned that each further item keeps, so
	// that the last hundred items count.
	lengthMemory = 0.99
	// overrun is the least part of its events that an item is still expected to make:
	// callers' guesses are right in the median and often far too low.
	overrun = 0.15
)

// lengths learns from complete texts how many tokens an event holds.
type lengths struct {
	tokens, events float64
}

func newLengths() lengths {
	return lengths{tokens: assumedTokensPerEvent * assumedEvents, events: assumedEvents}
}

// note records a complete text and the caller's guess of its tokens, 0 for none.
func (l *lengths) note(expectedTokens, events uint64) {
	if expectedTokens == 0 || events == 0 {
		return
	}
	l.tokens = lengthMemory*l.tokens + float64(expectedTokens)
	l.events = lengthMemory*l.events + float64(events)
}

// remaining estimates the events that an item is still to make.
func (l *lengths) remaining(entry *item) float64 {
	expected := float64(entry.spec.ExpectedTokens) * l.events / l.tokens
	return max(expected-float64(entry.events), overrun*float64(entry.events), 1)
}
