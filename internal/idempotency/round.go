package idempotency

// Verdict is the result of a round of claims.
type Verdict int

// Verdicts of a round.
const (
	// Undecided means that outstanding answers can still decide the round.
	Undecided Verdict = iota
	// Won means that a majority bound the key to this request, which may run.
	Won
	// Taken means that a majority bound the key to another request.
	Taken
	// Unavailable means that no request can get a majority in this round any more.
	Unavailable
)

// Round counts the answers to one claim. It is not safe for concurrent use.
type Round struct {
	binding Binding
	members int
	quorum  int
	won     int
	failed  int
	// taken counts the grants that name another request.
	taken map[Binding]int
}

// NewRound returns a round of claims of a binding at a group with the given number of
// members, of which quorum must grant.
func NewRound(binding Binding, members, quorum int) *Round {
	return &Round{binding: binding, members: members, quorum: quorum, taken: make(map[Binding]int)}
}

// Add counts the answer of one member.
func (r *Round) Add(grant Grant) {
	switch {
	case grant.Status != Bound:
		r.failed++
	case grant.Binding == r.binding:
		r.won++
	default:
		r.taken[grant.Binding]++
	}
}

// AddFailure counts a member that did not answer.
func (r *Round) AddFailure() { r.failed++ }

// Verdict evaluates the answers so far. If another request holds the key at a minority
// only, the verdict is Unavailable and not Taken, because that request may have been
// released or may still win.
func (r *Round) Verdict() Verdict {
	others, most := 0, 0
	for _, count := range r.taken {
		others += count
		most = max(most, count)
	}
	outstanding := r.members - r.won - r.failed - others
	switch {
	case r.won >= r.quorum:
		return Won
	case most >= r.quorum:
		return Taken
	case r.won+outstanding >= r.quorum || most+outstanding >= r.quorum:
		return Undecided
	default:
		return Unavailable
	}
}

// Holder returns the other request with the most grants, or false if there is none.
// Among equal counts it returns the lowest request id.
func (r *Round) Holder() (Binding, bool) {
	var holder Binding
	most := 0
	for binding, count := range r.taken {
		if count > most || count == most && binding.RequestID < holder.RequestID {
			holder, most = binding, count
		}
	}
	return holder, most > 0
}
