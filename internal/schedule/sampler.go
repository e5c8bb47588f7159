package schedule

import (
	"time"
)

// Sampler is a sampler as service discovery and load reports describe it.
type Sampler struct {
	ID      string
	Address string
	Zone    string
	Service string
	// Slots is the number of items that it generates at once.
	Slots int
	// Leaving is set once it must get no new work.
	Leaving bool
	// Versions maps a model to the weight version that it serves.
	Versions map[string]uint64
}

// samplerState is a sampler with what the executor knows of it.
type samplerState struct {
	Sampler
	running int
	// loading holds the models whose weights are being changed. Only work for
	// these has to wait.
	loading map[string]struct{}
	// pace is a moving average of the time to one event of one item.
	pace time.Duration
	// notBefore is when the sampler may get work again after a refusal or a
	// failure; failures counts those in a row.
	notBefore time.Time
	failures  int
	// groups remembers when a group's prompt was last read here.
	groups map[string]time.Time
}

const (
	// initialPace is assumed of a sampler that has made no event yet.
	initialPace = 35 * time.Millisecond
	// paceWeight is the share of a new observation in the moving average.
	paceWeight = 0.15
	// loadSlowdown is how much each running item slows the others.
	loadSlowdown = 0.033
	// affinityGain is the advantage of a sampler that has read the prompt.
	affinityGain = 0.9
	// defaultSlots is assumed of a sampler that names none.
	defaultSlots = 4
	// groupMemory is how long a sampler is taken to keep a prompt.
	groupMemory = 20 * time.Second
	// maxPause bounds the pause of a sampler that keeps failing.
	maxPause = 2 * time.Second
	// basePause is the pause after the first failure; it doubles.
	basePause = 100 * time.Millisecond
)

func (s *samplerState) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

func (s *samplerState) isLoading(model string) bool {
	_, loading := s.loading[model]
	return loading
}

func (s *samplerState) usable(now time.Time) bool {
	return !s.Leaving && s.running < s.slots() && !now.Before(s.notBefore)
}

// cost estimates the relative time that a new item would take.
func (s *samplerState) cost(group string, now time.Time) float64 {
	estimated := float64(s.pace) * (1 + loadSlowdown*float64(s.running))
	if readAt, read := s.groups[group]; read && group != "" && now.Sub(readAt) < groupMemory {
		estimated *= affinityGain
	}
	return estimated
}

// setVersion records the version served. New weights drop the kept prompts.
func (s *samplerState) setVersion(model string, version uint64) {
	if s.Versions[model] != version {
		s.Versions[model] = version
		clear(s.groups)
	}
}

func (s *samplerState) observe(gap time.Duration) {
	s.pace += time.Duration(paceWeight * float64(gap-s.pace))
	s.failures = 0
}

// pause keeps work away after a failure.
func (s *samplerState) pause(now time.Time) {
	s.notBefore = now.Add(min(basePause<<min(s.failures, 6), maxPause))
	s.failures++
}
