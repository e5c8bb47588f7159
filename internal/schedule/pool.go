package schedule

import (
	"slices"
	"strings"

	"github.com/pathbend/pathbend/internal/locality"
)

// Pool identifies the samplers of some services in some regions. Pools are equal if they are
// made of the same services and regions. The zero value has no sampler.
type Pool struct {
	services, regions string
}

// poolSeparator separates names in a Pool. Names of services and regions do not contain it.
const poolSeparator = "\x00"

// NewPool returns the pool of the samplers of services in regions.
func NewPool(services []string, regions locality.Regions) Pool {
	if len(services) == 0 || regions.Restricted() && len(regions.Names()) == 0 {
		return Pool{}
	}
	names := slices.Compact(slices.Sorted(slices.Values(services)))
	return Pool{services: strings.Join(names, poolSeparator), regions: strings.Join(regions.Names(), poolSeparator)}
}

// Empty reports whether no sampler belongs to the pool.
func (p Pool) Empty() bool { return p.services == "" }

// Services returns the services of the pool, sorted.
func (p Pool) Services() []string {
	if p.Empty() {
		return nil
	}
	return strings.Split(p.services, poolSeparator)
}

// Regions returns the regions of the pool.
func (p Pool) Regions() locality.Regions {
	if p.regions == "" {
		return locality.Regions{}
	}
	return locality.Only(strings.Split(p.regions, poolSeparator)...)
}

// Compare orders pools.
func (p Pool) Compare(other Pool) int {
	if order := strings.Compare(p.services, other.services); order != 0 {
		return order
	}
	return strings.Compare(p.regions, other.regions)
}

// Workload identifies work for a model that the samplers of a pool may do.
type Workload struct {
	Model string
	Pool  Pool
}
