package fanout

import (
	"sync"
	"time"
)

const (
	// avoidFor is how long a reader is left alone that did not help (chosen: a process that
	// ended is back after some 2 s, and its entry in the directory stays).
	avoidFor = 3 * time.Second
	// StalestAge is the age of a reader's knowledge from which on it lags. A reader in touch
	// hears of the log each 0.6 s and rests for 0.1 s. A sampler that leaves must get nothing
	// new after 2 s on the users' smallest deployments: this, the 0.6 s for which a question is
	// held, and a rest of 0.1 s stay within that.
	StalestAge = 1200 * time.Millisecond
	// startPatience is how long a node that knows nothing yet asks readers again, from its
	// first question on, before it reads all itself, and AskAgain how long it leaves them in
	// between. Where all started at once, some 35 readers of 20 pages each take 280 MB, 3.5 s
	// of the log's 80 MB a second (worked out); all 985 would take 7.9 GB.
	startPatience = 4 * time.Second
	// AskAgain is that pause.
	AskAgain = 250 * time.Millisecond
)

// Choice is what a node knows of its readers. It is safe for concurrent use.
type Choice struct {
	mutex sync.Mutex
	// began is when the node asked first.
	began time.Time
	avoid map[string]time.Time
}

// NewChoice returns the choice of a node that knows nothing yet.
func NewChoice() *Choice { return &Choice{avoid: make(map[string]time.Time)} }

// Parents returns the readers to ask now, in turn.
func (c *Choice) Parents(plan Plan, now time.Time) []Node {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.began.IsZero() {
		c.began = now
	}
	var able []Node
	for _, parent := range plan.Parents {
		if now.Before(c.avoid[parent.Name]) {
			continue
		}
		if able = append(able, parent); len(able) == parentsTried {
			break
		}
	}
	return able
}

// Unhelpful records that a reader gave no answer, or one that is too old.
func (c *Choice) Unhelpful(name string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.avoid[name] = now.Add(avoidFor)
	for other, until := range c.avoid {
		if now.After(until) {
			delete(c.avoid, other)
		}
	}
}

// Waits reports whether a node that knows nothing yet leaves the log to the readers.
func (c *Choice) Waits(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.began.IsZero() || now.Sub(c.began) < startPatience
}
