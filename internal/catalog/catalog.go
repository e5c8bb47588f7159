// Package catalog contains the routes and services that operators declare for a
// node whose configuration comes from a platform. A Catalog is built once from a
// document and is immutable afterwards.
package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/result"
)

// RouteKind is the type of a route's requests: how often they may run and what they carry.
type RouteKind int

// Kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota + 1
	// AtMostOnce requests run at most once each time the caller sends them.
	AtMostOnce
	// Stream requests are answered with a stream of events.
	Stream
	// Rollout routes accept batch jobs of generations.
	Rollout
)

// TrafficShare is a service's weighted share of a route's traffic.
type TrafficShare struct {
	Service string
	Weight  int
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout limits how long a request may take; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the latency objective of an answer.
	LatencyObjective time.Duration
	// MaxAttempts limits the samplers that are tried for one request of a caller.
	MaxAttempts int
	Priority    int
	Resumable   bool
	// Public allows callers to use the route without an API key.
	Public bool
	// SingleVersion requires that one weight version generates an item's whole text.
	SingleVersion bool
	// ResultsDueAfter is the time from the submission of a batch job by which all its results
	// should be complete.
	ResultsDueAfter time.Duration
	// AbandonAfter is the time from the submission of a batch job after which items may be
	// abandoned.
	AbandonAfter time.Duration
	// Regions are the regions in which requests of the route may be served.
	Regions locality.Regions
	// TrafficShares has at least one entry.
	TrafficShares []TrafficShare
}

// Service is a group of samplers.
type Service struct {
	Name string
	// Models are the models that the samplers serve; empty for applications.
	Models []string
	// Slots is the number of requests that one sampler runs concurrently; 0 if unknown.
	Slots int
	// MaxConnections limits the connections to one sampler from all callers together.
	MaxConnections int
	// ColdDuration is how long a sampler is cold (warming up) after its start; 0 if samplers
	// are never cold.
	ColdDuration time.Duration
	// ColdRequestsPerSecond is the number of requests per second that a cold sampler can serve; 0
	// if samplers are never cold.
	ColdRequestsPerSecond float64
	// Scaling is nil if the service is not scaled automatically.
	Scaling *Scaling
}

// Scaling limits the samplers that are ordered from the platform.
type Scaling struct {
	// MaxSamplersPerZone limits the samplers in each zone, on-demand and spot together.
	MaxSamplersPerZone int
	// BootTime is how long a new sampler takes until it serves requests.
	BootTime time.Duration
	// SpotPrice is the price of a spot sampler as a fraction of the on-demand price; 0
	// if there are no spot samplers.
	SpotPrice float64
	// ZonePrices are the prices per second of an on-demand sampler by zone, in any unit.
	ZonePrices map[string]float64
}

// Limits limits the requests that clients may send. A zero value means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one version of the declared routes and services. It is immutable and safe
// for concurrent use.
type Catalog struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Keys maps API keys to tenants; nil if the deployment has no tenants.
	Keys *credential.Keyring

	byHost map[string][]*Route
	routes int
}

// New validates the routes and builds a catalog. keys is nil if the deployment has no
// tenants. The error is ConfigInvalid and names the route and field.
func New(version uint64, routes []Route, services []Service, limits Limits, keys *credential.Keyring) (*Catalog, error) {
	catalog := &Catalog{
		Version: version, Services: make(map[string]Service, len(services)), Limits: limits, Keys: keys,
		byHost: make(map[string][]*Route), routes: len(routes),
	}
	for _, service := range services {
		catalog.Services[service.Name] = service
	}
	for i := range routes {
		route := &routes[i]
		if err := route.validate(); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		catalog.byHost[host] = append(catalog.byHost[host], route)
	}
	for _, group := range catalog.byHost {
		slices.SortStableFunc(group, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return catalog, nil
}

func (r *Route) validate() error {
	switch {
	case r.Host == "":
		return invalidRoute(r.Name, "host", "must not be empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalidRoute(r.Name, "prefix", "must begin and end with a slash")
	case r.Kind == 0:
		return invalidRoute(r.Name, "kind", "must be a known kind")
	case len(r.TrafficShares) == 0:
		return invalidRoute(r.Name, "service", "must name at least one service")
	}
	if r.MaxAttempts < 1 {
		r.MaxAttempts = 1
	}
	return nil
}

func invalidRoute(route, field, detail string) error {
	return result.New(result.ConfigInvalid, "route %q: %s", route, detail).WithField(field)
}

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routes }

// Find returns the route of the host whose prefix is the longest match for the path;
// nil if no route matches. The case and port of host are ignored.
func (c *Catalog) Find(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ServiceFor returns the service that a request is sent to. The hash of the request id
// selects the share, so that every node selects the same service.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.TrafficShares) == 1 {
		return r.TrafficShares[0].Service
	}
	total := 0
	for _, share := range r.TrafficShares {
		total += share.Weight
	}
	if total <= 0 {
		return r.TrafficShares[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, share := range r.TrafficShares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.TrafficShares[len(r.TrafficShares)-1].Service
}

// Allows reports whether the route may send requests to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.TrafficShares, func(share TrafficShare) bool { return share.Service == service && share.Weight > 0 })
}

// RequestServices returns the sorted names of the services that receive client requests
// and of those without models, which receive reward calls.
func (c *Catalog) RequestServices() []string {
	names := make(map[string]struct{})
	for name, service := range c.Services {
		if len(service.Models) == 0 {
			names[name] = struct{}{}
		}
	}
	for _, group := range c.byHost {
		for _, route := range group {
			if route.Kind == Rollout {
				continue
			}
			for _, share := range route.TrafficShares {
				names[share.Service] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}
