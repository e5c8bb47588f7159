package platformnode

import (
	"cmp"
	"maps"
	"slices"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/weights"
)

// workloadOf returns the workload of a job under the current configuration. Its pool is empty if
// no route matches the job.
func (e *executor) workloadOf(spec *pathbendv1.BatchJob) schedule.Workload {
	return workloadUnder(e.node.Catalog(), spec)
}

// workloadUnder returns the workload of a job under a configuration, which may be nil.
func workloadUnder(configuration *catalog.Catalog, spec *pathbendv1.BatchJob) schedule.Workload {
	workload := schedule.Workload{Model: spec.Model}
	if configuration == nil {
		return workload
	}
	if route := configuration.Find(spec.Host, spec.Path); route != nil {
		workload.Pool = schedule.NewPool(activeServices(route), regionsOf(configuration, route, spec.Tenant))
	}
	return workload
}

// moveDemand moves the demand of known jobs whose routes lead to other samplers under the
// configuration current than under previous, so that these samplers load the versions which the
// next jobs need. The caller holds e.mutex.
func (e *executor) moveDemand(previous, current *catalog.Catalog) {
	destinations := make(map[schedule.Workload][]schedule.Workload)
	e.node.jobs.withLedger(func(state *ledger.Ledger) {
		for _, job := range state.Jobs() {
			from, to := workloadUnder(previous, job.Spec), workloadUnder(current, job.Spec)
			if !slices.Contains(destinations[from], to) {
				destinations[from] = append(destinations[from], to)
			}
		}
	})
	e.scheduler.MoveDemand(destinations)
}

// weightDemands returns the demand for weights in a fixed order. Work without a route counts
// only for a model that has no other: it may get a route to any service.
func weightDemands(expected map[schedule.Workload]int) []weights.Demand {
	routed := make(map[string]bool)
	for workload := range expected {
		routed[workload.Model] = routed[workload.Model] || !workload.Pool.Empty()
	}
	var demands []weights.Demand
	for _, workload := range slices.SortedFunc(maps.Keys(expected), compareWorkloads) {
		if workload.Pool.Empty() && routed[workload.Model] {
			continue
		}
		demands = append(demands, weights.Demand{
			Model: workload.Model, Services: workload.Pool.Services(), Regions: workload.Pool.Regions(), Items: expected[workload],
		})
	}
	return demands
}

func compareWorkloads(a, b schedule.Workload) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), a.Pool.Compare(b.Pool))
}
