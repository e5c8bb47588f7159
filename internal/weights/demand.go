package weights

import (
	"slices"

	"github.com/pathbend/pathbend/internal/locality"
)

// Demand is work for a model that the samplers of certain services and regions may do.
type Demand struct {
	Model string
	// Services are the services whose samplers may do the work; empty for all services.
	Services []string
	// Regions are the regions whose samplers may do the work.
	Regions locality.Regions
	// Items is the number of items to expect at once.
	Items int
}

// allows reports whether a sampler may do the work.
func (d *Demand) allows(member Member) bool {
	return d.Regions.Allows(member.Region) && (len(d.Services) == 0 || slices.Contains(d.Services, member.Service))
}

func equalDemand(a, b Demand) bool {
	return a.Model == b.Model && a.Items == b.Items && a.Regions.String() == b.Regions.String() && slices.Equal(a.Services, b.Services)
}

// samplerPool identifies the samplers of a model that the same demands allow. Within a pool any
// sampler can replace any other; a sampler of another pool may be of no use to the same jobs.
type samplerPool struct {
	model string
	// demands has one character for each demand of the model, '1' if it allows the samplers. It
	// is empty if the demand of the model is unknown.
	demands string
}

// poolOf returns the pool of a sampler that serves a model, or false if no demand for the model
// allows the sampler.
func (r *RollingUpdate) poolOf(member Member, model string) (samplerPool, bool) {
	demands := r.demand[model]
	switch len(demands) {
	case 0:
		return samplerPool{model: model}, true
	case 1:
		return samplerPool{model: model, demands: "1"}, demands[0].allows(member)
	}
	flags, allowed := make([]byte, len(demands)), false
	for i := range demands {
		flags[i] = '0'
		if demands[i].allows(member) {
			flags[i], allowed = '1', true
		}
	}
	return samplerPool{model: model, demands: string(flags)}, allowed
}

// poolHosts groups the samplers that serve a model by pool. Samplers that no demand allows are
// left out.
func (r *RollingUpdate) poolHosts(model string, eligible []Member) map[samplerPool][]Member {
	hosts := make(map[samplerPool][]Member)
	for _, member := range eligible {
		if _, serves := member.Versions[model]; !serves {
			continue
		}
		pool, allowed := r.poolOf(member, model)
		if !allowed {
			continue
		}
		if hosts[pool] == nil {
			hosts[pool] = make([]Member, 0, len(eligible))
		}
		hosts[pool] = append(hosts[pool], member)
	}
	return hosts
}

// itemsPerPool divides each demand for a model among the pools that it allows, in proportion to
// their slots. It returns false if the demand is unknown.
func (r *RollingUpdate) itemsPerPool(model string, hosts map[samplerPool][]Member) (items map[samplerPool]int, known bool) {
	items, capacity := make(map[samplerPool]int, len(hosts)), make(map[samplerPool]int, len(hosts))
	for pool, members := range hosts {
		capacity[pool] = capacityOf(members)
	}
	for i, demand := range r.demand[model] {
		total := 0
		for pool := range hosts {
			if pool.demands[i] == '1' {
				total += capacity[pool]
			}
		}
		for pool := range hosts {
			if pool.demands[i] == '1' {
				items[pool] += (demand.Items*capacity[pool] + total - 1) / total
			}
		}
	}
	return items, len(r.demand[model]) > 0
}

// capacityOf returns the number of slots of samplers. A sampler of unknown slots counts as one.
func capacityOf(members []Member) int {
	capacity := 0
	for _, member := range members {
		capacity += max(member.Slots, 1)
	}
	return capacity
}
