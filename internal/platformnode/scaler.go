package platformnode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/scaling"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// scalerInterval is how often the holder of the jobs plans sampler orders.
	scalerInterval = 500 * time.Millisecond
	// samplerOrderTimeout bounds an order. It is shorter than the time for which another
	// holder waits after this one's claim.
	samplerOrderTimeout = 1800 * time.Millisecond
)

// scaler orders spot samplers from the platform while this node holds the jobs.
type scaler struct {
	node *Node
	// planners holds the planners by service. They belong to one generation of the group and
	// are replaced in the next one.
	planners   map[string]*scaling.Planner
	generation uint64
}

// run plans and gives orders until ctx ends. It returns at once if this system does not order
// samplers.
func (s *scaler) run(ctx context.Context) {
	if !s.node.settings.OrderSamplers || s.node.ports.Scaler == nil {
		return
	}
	for wait.For(ctx, scalerInterval) {
		if s.node.claims.IsHolder(time.Now()) {
			s.step(ctx)
		}
	}
}

// step plans the orders of all services that scale, unless this node does not execute the
// jobs.
func (s *scaler) step(ctx context.Context) {
	if generation := s.node.ownership.Generation(); generation != s.generation {
		s.generation, s.planners = generation, make(map[string]*scaling.Planner)
	}
	current := s.node.Catalog()
	peaks, isExecuting := s.node.executor.peakDemand(time.Now())
	if current == nil || !isExecuting {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(current.Services)) {
		service := current.Services[name]
		if service.Scaling != nil {
			s.scale(ctx, service, peakOf(service, peaks))
		}
	}
}

// peakOf returns the peak demand of a service, the sum of the peaks of its models' workloads
// that its samplers may do.
func peakOf(service catalog.Service, peaks map[schedule.Workload]int) int {
	peak := 0
	for workload, items := range peaks {
		if slices.Contains(service.Models, workload.Model) && slices.Contains(workload.Pool.Services(), service.Name) {
			peak += items
		}
	}
	return peak
}

// scale plans the orders for a service and gives them to the platform.
func (s *scaler) scale(ctx context.Context, service catalog.Service, peak int) {
	planner := s.planners[service.Name]
	if planner == nil {
		planner = scaling.NewPlanner(time.Now())
		s.planners[service.Name] = planner
	}
	zones, evacuated := s.countByZone(service)
	state := scaling.Service{
		Zones: zones, Evacuated: evacuated, Max: service.Scaling.MaxSamplersPerZone, Slots: service.Slots,
		SpotPrice: service.Scaling.SpotPrice, BootTime: service.Scaling.BootTime,
	}
	orders := planner.Plan(time.Now(), state, peak)
	s.node.metrics.samplerReserve.WithLabelValues(service.Name).Set(float64(planner.Reserve()))
	for _, order := range orders {
		accepted := s.order(ctx, service.Name, order, peak, planner.Reserve())
		s.node.metrics.recordSamplerOrder(order.Zone, accepted)
		if accepted {
			planner.Accepted(order, time.Now())
		} else {
			planner.Refused(order, time.Now())
		}
	}
}

// countByZone counts a service's samplers by zone. It leaves out evacuated zones, in which
// nothing is ordered, and counts their ordinary samplers separately: these are kept for the
// time after the evacuation.
func (s *scaler) countByZone(service catalog.Service) (zones []scaling.Zone, evacuated int) {
	byZone := make(map[string]*scaling.Zone)
	for name, price := range service.Scaling.ZonePrices {
		byZone[name] = &scaling.Zone{Name: name, Price: price}
	}
	if listed := s.node.samplers.Load(); listed != nil {
		for _, sampler := range *listed {
			zone, known := byZone[sampler.Zone]
			switch {
			case !known || sampler.Service != service.Name || sampler.Leaving:
			case sampler.Spot:
				zone.Spot++
			default:
				zone.Ordinary++
			}
		}
	}
	evacuatedZones := s.node.evacuated.Load()
	for _, name := range slices.Sorted(maps.Keys(byZone)) {
		if evacuatedZones.Contains(name) {
			evacuated += byZone[name].Ordinary
			continue
		}
		zones = append(zones, *byZone[name])
	}
	return zones, evacuated
}

// order gives an order and reports whether the platform accepted it.
func (s *scaler) order(ctx context.Context, service string, order scaling.Order, peak, reserve int) bool {
	permit, ok := s.node.claims.AcquirePermit(ctx, "duty/scale/"+service+"/"+order.Zone)
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, samplerOrderTimeout)
	defer cancel()
	request := SamplerOrder{Service: service, Zone: order.Zone, Desired: order.Desired, Spot: true}
	if err := s.node.ports.Scaler.OrderSamplers(callCtx, permit, request); err != nil {
		s.node.logger.Log(event.SamplersUnordered, "service", service, "zone", order.Zone, "desired", order.Desired,
			"spot", true, "fence", permit.Fence, "detail", err.Error())
		return false
	}
	s.node.logger.Log(event.SamplersOrdered, "service", service, "zone", order.Zone, "desired", order.Desired,
		"spot", true, "fence", permit.Fence, "peak", peak, "reserve", reserve)
	return true
}
