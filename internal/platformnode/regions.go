package platformnode

import (
	"slices"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/routing"
)

// location returns the location of the node for routing decisions.
func (s *Settings) location() routing.NodeLocation {
	return routing.NodeLocation{Node: s.Name, Zone: s.Zone, Topology: s.Topology}
}

// regionsOf returns the regions in which a tenant's work on a route may be served according
// to the configuration current. If route is nil these are the tenant's regions.
func regionsOf(current *catalog.Catalog, route *catalog.Route, tenantName string) locality.Regions {
	tenant, _ := current.Keys.Tenant(tenantName)
	if route == nil {
		return tenant.Regions
	}
	return route.Regions.Intersect(tenant.Regions)
}

// checkServable returns an error if no region of the deployment is allowed. The error has no
// retry-after hint, as retrying is useless until the configuration changes.
func (n *Node) checkServable(regions locality.Regions) error {
	if !regions.Restricted() || slices.ContainsFunc(n.settings.Topology.Regions(), regions.Allows) {
		return nil
	}
	return result.New(result.RegionUnavailable, "no region of this deployment is in %v", regions)
}

// checkJobServable returns an error if the items of a job, or their reward calls, can never be
// served under the current configuration.
func (n *Node) checkJobServable(spec *pathbendv1.BatchJob, items []*pathbendv1.BatchItem) error {
	current := n.Catalog()
	if current == nil {
		return nil
	}
	if err := n.checkServable(n.regionsOfJob(spec)); err != nil {
		return err
	}
	for _, item := range items {
		if item.Reward == nil {
			continue
		}
		if route := current.Find(item.Reward.Host, item.Reward.Path); route != nil {
			if err := n.checkServable(regionsOf(current, route, spec.Tenant)); err != nil {
				return err
			}
		}
	}
	return nil
}

// isOutside reports whether this node is outside the regions to which work is bound, so that
// it must not hold the work's bodies and texts.
func (n *Node) isOutside(regions locality.Regions) bool {
	return regions.Restricted() && !regions.Allows(n.settings.Topology.Region(n.settings.Zone))
}

// regionsOfJob returns the regions in which a job's items may be served.
func (n *Node) regionsOfJob(spec *pathbendv1.BatchJob) locality.Regions {
	current := n.Catalog()
	if current == nil {
		return locality.Regions{}
	}
	return regionsOf(current, current.Find(spec.Host, spec.Path), spec.Tenant)
}

// checkBodiesAllowed returns an error if, according to this node's current configuration, it
// must not hold the bodies of a job.
func (n *Node) checkBodiesAllowed(spec *pathbendv1.BatchJob) error {
	if regions := n.regionsOfJob(spec); n.isOutside(regions) {
		return result.New(result.RegionUnavailable, "the job is bound to %v", regions)
	}
	return nil
}

// checkRunAllowed returns an error if, according to this node's current configuration, it must
// not execute a run of a job, or a sampler in the zone must not serve it.
func (n *Node) checkRunAllowed(spec *pathbendv1.BatchJob, zone string) error {
	regions := n.regionsOfJob(spec)
	if regions.Restricted() && !regions.Allows(n.settings.Topology.Region(zone)) {
		return result.New(result.RegionUnavailable, "the job is bound to %v", regions)
	}
	return n.checkBodiesAllowed(spec)
}
