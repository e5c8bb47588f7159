package routing

import (
	"math/rand/v2"
	"time"

	"github.com/pathbend/pathbend/internal/locality"
)

// Request holds the properties of an attempt that a routing decision depends on.
type Request struct {
	Pool string
	// Zone is the zone of the routing node; empty to disregard zones.
	Zone string
	// Model and MinVersion restrict the engines to those that may serve the model at that
	// weight version or a later one. Model is empty for back ends.
	Model      string
	MinVersion uint64
	// PrefixHash is the hash of the prompt prefix; 0 for none.
	PrefixHash uint64
	// Regions are the regions in which the request may be served.
	Regions locality.Regions
	// Excluded are the ids of endpoints that must not be picked, usually because an earlier
	// attempt used them.
	Excluded []string
	// Now is the time of the decision.
	Now time.Time
}

// Filter decides which endpoints may serve a request.
type Filter interface {
	// Keep reports whether the endpoint may serve the request.
	Keep(request *Request, endpoint *Endpoint) bool
}

// Scorer rates candidates.
type Scorer interface {
	// Score returns a value from 0 (worst) to 1 (best).
	Score(request *Request, candidate *Candidate) float64
}

// Picker chooses among scored candidates.
type Picker interface {
	// Pick returns the endpoint of one candidate. candidates is not empty.
	Pick(random *rand.Rand, candidates []Candidate) *Endpoint
}

// Candidate is an endpoint under consideration.
type Candidate struct {
	Endpoint *Endpoint
	// AffinityRank is the endpoint's position in the order of prefix affinity, or -1 if it
	// has no affinity.
	AffinityRank int
	// Score is the weighted sum of all scorers.
	Score float64
}

// WeightedScorer is a scorer with its weight in the total score.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// SubsetSelector limits the endpoints of a pool that a decision examines, so that the cost
// of a decision stays flat as the fleet grows.
type SubsetSelector interface {
	// Select appends the selected endpoints to destination, those with prefix affinity first.
	Select(destination []*Endpoint, random *rand.Rand, pool *endpointPool, request *Request) []*Endpoint
}

// Profile is a pipeline of plugins that picks endpoints. It is not safe for concurrent use.
type Profile struct {
	selector SubsetSelector
	filters  []Filter
	scorers  []WeightedScorer
	picker   Picker
	random   *rand.Rand

	// subset and candidates are buffers that are reused between decisions.
	subset     []*Endpoint
	candidates []Candidate
}

// NewProfile returns a pipeline of the given plugins.
func NewProfile(random *rand.Rand, selector SubsetSelector, filters []Filter, scorers []WeightedScorer, picker Picker) *Profile {
	return &Profile{
		selector: selector, filters: filters, scorers: scorers, picker: picker, random: random,
		subset:     make([]*Endpoint, 0, randomSubsetSize+affinitySubsetSize),
		candidates: make([]Candidate, 0, randomSubsetSize+affinitySubsetSize),
	}
}

// NewApplicationProfile returns the pipeline for application requests.
func NewApplicationProfile(random *rand.Rand) *Profile {
	return NewProfile(random, RandomSubset{},
		[]Filter{NotLeaving{}, NotEvacuated{}, NotExcluded{}, NotEjected{}},
		[]WeightedScorer{{LeastLoad{}, 3}, {SameZone{}, 1}},
		TwoChoices{})
}

// platformSameZoneWeight is the weight of the node's own zone in NewPlatformProfile. It only
// decides between equally loaded endpoints: one request in flight at an endpoint with a
// capacity of six outweighs it. With a higher weight a burst in one zone fills that zone's
// endpoints while others are idle.
const platformSameZoneWeight = 0.4

// platformSameRegionWeight is the additional weight of the node's own region in
// NewPlatformProfile. An endpoint with a capacity of six in another region is picked once
// those of the own region have two more requests of this node. A request then waits for a
// third of its own service time, which is about the round-trip time to the other region.
const platformSameRegionWeight = 0.6

// NodeLocation is the location of a routing node together with the topology it knows.
type NodeLocation struct {
	// Node is the name of the node.
	Node string
	// Zone is the zone of the node.
	Zone string
	// Topology maps zones to regions.
	Topology locality.Topology
}

// NewPlatformProfile returns the pipeline for nodes that receive no load reports. It picks
// the endpoint in the allowed regions with the fewest requests of this node, but one in
// another region only under the condition of platformSameRegionWeight. Between equally loaded
// endpoints it prefers the own zone, then the own region, then the node's preference order.
// That keeps traffic within the zone and the number of connections small.
func NewPlatformProfile(random *rand.Rand, location NodeLocation) *Profile {
	region := location.Topology.Region(location.Zone)
	return NewProfile(random, RendezvousSubset{Location: location},
		[]Filter{AllowedRegion{location.Topology}, NotLeaving{}, NotEvacuated{}, NotExcluded{}, WithinBudget{}, NotCold{}, NotEjected{}},
		[]WeightedScorer{
			{LeastLoad{}, 3}, {SameZone{}, platformSameZoneWeight}, {SameRegion{location.Topology, region}, platformSameRegionWeight},
		},
		BestScore{})
}

// NewGenerationProfile returns the pipeline for generation requests, which engines serve.
func NewGenerationProfile(random *rand.Rand) *Profile {
	return NewProfile(random, RandomSubset{},
		[]Filter{NotLeaving{}, NotEvacuated{}, NotExcluded{}, ServesVersion{}, NotEjected{}},
		[]WeightedScorer{{LeastLoad{}, 3}, {PrefixAffinity{}, 2}},
		TwoChoices{})
}

// relaxation names the filters that a pass over the endpoints skips: NotCold and NotEjected.
type relaxation struct{ cold, ejected bool }

// relaxations are the successive passes. If no endpoint is warm, a cold one with budget left
// serves. If all remaining endpoints are ejected, ejection is ignored, because an attempt at
// an unhealthy endpoint is better than a certain refusal.
var relaxations = []relaxation{{}, {cold: true}, {cold: true, ejected: true}}

// Pick returns the endpoint for a request, or nil if none may serve it.
func (p *Profile) Pick(table *Table, request *Request) *Endpoint {
	pool, ok := table.pools[request.Pool]
	if !ok {
		return nil
	}
	p.subset = p.selector.Select(p.subset[:0], p.random, pool, request)
	p.filterCandidates(request, relaxation{})
	if len(p.candidates) == 0 {
		// The subset may lack the few endpoints that qualify; examine all.
		p.subset = append(p.subset[:0], pool.endpoints...)
	}
	for i := 0; len(p.candidates) == 0 && i < len(relaxations); i++ {
		p.filterCandidates(request, relaxations[i])
	}
	if len(p.candidates) == 0 {
		return nil
	}
	for i := range p.candidates {
		p.candidates[i].Score = p.score(request, &p.candidates[i])
	}
	return p.picker.Pick(p.random, p.candidates)
}

// filterCandidates sets the candidates to the endpoints of the subset that pass the filters.
func (p *Profile) filterCandidates(request *Request, relaxed relaxation) {
	p.candidates = p.candidates[:0]
	for i, endpoint := range p.subset {
		if !p.passes(request, endpoint, relaxed) {
			continue
		}
		rank := -1
		if request.PrefixHash != 0 && i < affinitySubsetSize {
			rank = i
		}
		p.candidates = append(p.candidates, Candidate{Endpoint: endpoint, AffinityRank: rank})
	}
}

func (p *Profile) passes(request *Request, endpoint *Endpoint, relaxed relaxation) bool {
	for _, filter := range p.filters {
		if relaxed.skips(filter) {
			continue
		}
		if !filter.Keep(request, endpoint) {
			return false
		}
	}
	return true
}

func (r relaxation) skips(filter Filter) bool {
	switch filter.(type) {
	case NotCold:
		return r.cold
	case NotEjected:
		return r.ejected
	}
	return false
}

// score returns the weighted sum of all scores of a candidate.
func (p *Profile) score(request *Request, candidate *Candidate) float64 {
	sum := 0.0
	for _, weighted := range p.scorers {
		sum += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return sum
}
