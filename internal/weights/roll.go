package weights

import (
	"cmp"
	"slices"
	"time"
)

// Member is one sampler in a roll of weight versions.
type Member struct {
	ID string
	// Versions maps a model to the version served, as far as is known.
	Versions map[string]uint64
	// Running is the work that it has.
	Running int
	Leaving bool
}

// Step is an order to bring one sampler to a version.
type Step struct {
	SamplerID string
	Model     string
	Version   uint64
}

// Roll decides which samplers change their weights when. At most Together
// samplers change at once: more would slow each other's loads down and take
// slots from the work. It is pure and not safe for concurrent use.
type Roll struct {
	// Together bounds the changes under way.
	Together int

	moving    map[string]struct{}
	notBefore map[string]time.Time
}

// rollPause is how long a sampler rests after an order that was not seen to
// take effect.
const rollPause = 300 * time.Millisecond

// NewRoll returns a roll that changes up to together samplers at once.
func NewRoll(together int) *Roll {
	return &Roll{Together: together, moving: make(map[string]struct{}), notBefore: make(map[string]time.Time)}
}

// Next returns the orders to give now, towards the newest version of each
// model. The samplers that are furthest behind come first, then those with the
// least work.
func (r *Roll) Next(now time.Time, members []Member, targets map[string]uint64) []Step {
	var behind []Step
	running := make(map[string]int, len(members))
	lag := make(map[string]uint64, len(members))
	for _, member := range members {
		running[member.ID] = member.Running
		if step, ok := r.stepFor(now, member, targets); ok {
			behind = append(behind, step)
			lag[member.ID] = step.Version - member.Versions[step.Model]
		}
	}
	slices.SortFunc(behind, func(a, b Step) int {
		return cmp.Or(
			cmp.Compare(lag[b.SamplerID], lag[a.SamplerID]),
			cmp.Compare(running[a.SamplerID], running[b.SamplerID]),
			cmp.Compare(a.SamplerID, b.SamplerID),
		)
	})
	room := max(r.Together-len(r.moving), 0)
	steps := behind[:min(room, len(behind))]
	for _, step := range steps {
		r.moving[step.SamplerID] = struct{}{}
	}
	return steps
}

func (r *Roll) stepFor(now time.Time, member Member, targets map[string]uint64) (Step, bool) {
	if _, moving := r.moving[member.ID]; moving || member.Leaving || now.Before(r.notBefore[member.ID]) {
		return Step{}, false
	}
	best := Step{}
	for model, serving := range member.Versions {
		target := targets[model]
		if target <= serving {
			continue
		}
		if best.Model == "" || target-serving > best.Version-member.Versions[best.Model] {
			best = Step{SamplerID: member.ID, Model: model, Version: target}
		}
	}
	return best, best.Model != ""
}

// Done records that an order is over. reached tells whether the sampler was
// seen to serve the version.
func (r *Roll) Done(samplerID string, reached bool, now time.Time) {
	delete(r.moving, samplerID)
	if !reached {
		r.notBefore[samplerID] = now.Add(rollPause)
	}
}

// Forget drops what is known of orders under way, when another node takes over.
func (r *Roll) Forget() {
	clear(r.moving)
	clear(r.notBefore)
}
