package routing

import (
	"math/rand/v2"
	"time"

	"github.com/pathbend/pathbend/internal/locality"
)

// Request is what a decision needs to know of an attempt.
type Request struct {
	Pool string
	// Zone is the zone of the deciding node.
	Zone string
	// Model and MinVersion restrict engines; Model is empty for back ends.
	Model      string
	MinVersion uint64
	// PrefixHash identifies the leading part of a prompt; 0 for none.
	PrefixHash uint64
	// Regions are those in which the request may be served.
	Regions locality.Regions
	// Excluded are endpoints that this request has already tried.
	Excluded []string
	Now      time.Time
}

// Filter drops endpoints that must not serve a request.
type Filter interface {
	Keep(request *Request, endpoint *Endpoint) bool
}

// Scorer rates an endpoint from 0 (worst) to 1 (best).
type Scorer interface {
	Score(request *Request, candidate *Candidate) float64
}

// Picker chooses among rated candidates, of which there is at least one.
type Picker interface {
	Pick(random *rand.Rand, candidates []Candidate) *Endpoint
}

// Candidate is an endpoint under consideration.
type Candidate struct {
	Endpoint *Endpoint
	// Rank is the position in the order that prefix affinity prefers, or -1.
	Rank  int
	Score float64
}

// WeightedScorer is a scorer with its share in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Subset chooses the endpoints of a pool that one decision looks at, so that its
// cost stays flat as the fleet grows.
type Subset interface {
	// Choose appends endpoints, those that prefix affinity prefers first.
	Choose(into []*Endpoint, random *rand.Rand, found *pool, request *Request) []*Endpoint
}

// Profile is a pipeline of plugins. It is not safe for concurrent use.
type Profile struct {
	subsets Subset
	filters []Filter
	scorers []WeightedScorer
	picker  Picker
	random  *rand.Rand

	subset     []*Endpoint
	candidates []Candidate
}

// NewProfile composes a pipeline.
func NewProfile(random *rand.Rand, subsets Subset, filters []Filter, scorers []WeightedScorer, picker Picker) *Profile {
	return &Profile{
		subsets: subsets, filters: filters, scorers: scorers, picker: picker, random: random,
		subset:     make([]*Endpoint, 0, subsetSize+affinitySize),
		candidates: make([]Candidate, 0, subsetSize+affinitySize),
	}
}

// NewApplicationProfile returns the pipeline for application requests.
func NewApplicationProfile(random *rand.Rand) *Profile {
	return NewProfile(random, RandomSubset{},
		[]Filter{NotLeaving{}, NotEvacuated{}, NotExcluded{}, NotEjected{}},
		[]WeightedScorer{{LeastLoad{}, 3}, {SameZone{}, 1}},
		TwoChoices{})
}

// hostedZoneWeight makes the own zone win while an endpoint there has no more
// work than another: a request in flight at one with six slots outweighs it.
// With more, a burst in one zone fills its endpoints while others are idle.
const hostedZoneWeight = 0.4

// hostedRegionWeight is added to that for the own region: an endpoint with six slots in
// another one is chosen once those of the own region have two requests of this node more
// (chosen: a third of a request's own work waits there, about as long as the way to the
// other region and back takes).
const hostedRegionWeight = 0.6

// Place is where a deciding node stands and what it knows of zones.
type Place struct {
	// Node is the node's name, Zone its zone.
	Node     string
	Zone     string
	Topology locality.Topology
}

// NewHostedProfile returns the pipeline for nodes without load reports: the
// endpoint with the least work of this node in the regions allowed, in the own zone
// among equals, then in the own region, and among those the one that the node prefers.
// That keeps bytes in their zone and the number of connections small.
func NewHostedProfile(random *rand.Rand, place Place) *Profile {
	region := place.Topology.Region(place.Zone)
	return NewProfile(random, PreferredSubset{Place: place},
		[]Filter{AllowedRegion{place.Topology}, NotLeaving{}, NotEvacuated{}, NotExcluded{}, WithinBudget{}, NotCold{}, NotEjected{}},
		[]WeightedScorer{
			{LeastLoad{}, 3}, {SameZone{}, hostedZoneWeight}, {SameRegion{place.Topology, region}, hostedRegionWeight},
		},
		BestScore{})
}

// NewGenerationProfile returns the pipeline for engines.
func NewGenerationProfile(random *rand.Rand) *Profile {
	return NewProfile(random, RandomSubset{},
		[]Filter{NotLeaving{}, NotEvacuated{}, NotExcluded{}, ServesVersion{}, NotEjected{}},
		[]WeightedScorer{{LeastLoad{}, 3}, {PrefixAffinity{}, 2}},
		TwoChoices{})
}

// relaxation tells which filters a look at the endpoints leaves out.
type relaxation struct{ cold, ejected bool }

// relaxations are the looks in turn. If no endpoint is warm, a cold one that has budget
// left serves; if every endpoint that may serve is ejected, ejection is ignored: a
// doubtful endpoint is better than a certain refusal.
var relaxations = []relaxation{{}, {cold: true}, {cold: true, ejected: true}}

// Pick chooses an endpoint, or returns nil if none may serve.
func (p *Profile) Pick(table *Table, request *Request) *Endpoint {
	found, ok := table.pools[request.Pool]
	if !ok {
		return nil
	}
	p.subset = p.subsets.Choose(p.subset[:0], p.random, found, request)
	p.filter(request, relaxation{})
	if len(p.candidates) == 0 {
		// The subset may have missed the few that serve; look at all.
		p.subset = append(p.subset[:0], found.endpoints...)
	}
	for i := 0; len(p.candidates) == 0 && i < len(relaxations); i++ {
		p.filter(request, relaxations[i])
	}
	if len(p.candidates) == 0 {
		return nil
	}
	for i := range p.candidates {
		p.candidates[i].Score = p.score(request, &p.candidates[i])
	}
	return p.picker.Pick(p.random, p.candidates)
}

func (p *Profile) filter(request *Request, relaxed relaxation) {
	p.candidates = p.candidates[:0]
	for i, endpoint := range p.subset {
		if !p.keeps(request, endpoint, relaxed) {
			continue
		}
		rank := -1
		if request.PrefixHash != 0 && i < affinitySize {
			rank = i
		}
		p.candidates = append(p.candidates, Candidate{Endpoint: endpoint, Rank: rank})
	}
}

func (p *Profile) keeps(request *Request, endpoint *Endpoint, relaxed relaxation) bool {
	for _, filter := range p.filters {
		if relaxed.omits(filter) {
			continue
		}
		if !filter.Keep(request, endpoint) {
			return false
		}
	}
	return true
}

func (r relaxation) omits(filter Filter) bool {
	switch filter.(type) {
	case NotCold:
		return r.cold
	case NotEjected:
		return r.ejected
	}
	return false
}

func (p *Profile) score(request *Request, candidate *Candidate) float64 {
	sum := 0.0
	for _, weighted := range p.scorers {
		sum += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return sum
}
