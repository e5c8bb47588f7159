// Package catalog holds the routes and services that operators declare for a
// node whose configuration comes from a platform. It is pure: a Catalog is
// built once from a document and only read afterwards.
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

// Kind tells how often a request of a route may run and what it carries.
type Kind int

// Kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = iota + 1
	// AtMostOnce requests run once a try at most.
	AtMostOnce
	// Stream requests are answered by a series of events.
	Stream
	// Rollout routes take batch jobs of generations.
	Rollout
)

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route maps requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is held; 0 for no bound.
	Timeout time.Duration
	// Objective is the time inside which an answer is wanted.
	Objective time.Duration
	// MaxAttempts bounds the samplers that one try is sent to.
	MaxAttempts int
	Priority    int
	Resumable   bool
	// Public lets callers use the route without a key.
	Public bool
	// SingleVersion wants the text of an item made by one weight version.
	SingleVersion bool
	// Due is when all results of a batch job are wanted, counted from its
	// submission; GiveUp when items may be given up.
	Due    time.Duration
	GiveUp time.Duration
	// Regions are those in which the route's work may be served.
	Regions locality.Regions
	// Shares has one entry or more.
	Shares []Share
}

// Service is a group of samplers.
type Service struct {
	Name string
	// Models are the models that its samplers serve; none for applications.
	Models []string
	// Slots is the number of requests that one sampler runs at once, if known.
	Slots int
	// MaxConnections bounds the connections to one sampler from all callers.
	MaxConnections int
	// ColdStart is how long a sampler is cold after its start, ColdPerSecond how many
	// requests a second it bears meanwhile; 0 where its samplers are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Scaling is nil where the number of samplers is not to be asked for.
	Scaling *Scaling
}

// Scaling bounds the samplers that the platform may be asked for.
type Scaling struct {
	// Max bounds the samplers of both kinds in each zone.
	Max int
	// Boot is how long a new sampler takes until it serves.
	Boot time.Duration
	// SpotPrice is the price of a spot sampler as a part of an ordinary one's, 0 where
	// there are none.
	SpotPrice float64
	// ZonePrices are the prices of a second of an ordinary sampler, in any unit.
	ZonePrices map[string]float64
}

// Limits bound what clients may send. Zero values mean no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the declared routes and services.
type Catalog struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Keys tells the tenants of callers; nil where the deployment has no tenants.
	Keys *credential.Keyring

	byHost map[string][]*Route
	routes int
}

// New checks the parts and builds a catalog. keys is nil where the deployment has no
// tenants.
func New(version uint64, routes []Route, services []Service, limits Limits, keys *credential.Keyring) (*Catalog, error) {
	built := &Catalog{
		Version: version, Services: make(map[string]Service, len(services)), Limits: limits, Keys: keys,
		byHost: make(map[string][]*Route), routes: len(routes),
	}
	for _, service := range services {
		built.Services[service.Name] = service
	}
	for i := range routes {
		route := &routes[i]
		if err := route.check(); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		built.byHost[host] = append(built.byHost[host], route)
	}
	for _, group := range built.byHost {
		slices.SortStableFunc(group, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return built, nil
}

func (r *Route) check() error {
	switch {
	case r.Host == "":
		return invalid(r.Name, "host", "must not be empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid(r.Name, "prefix", "must begin and end with a slash")
	case r.Kind == 0:
		return invalid(r.Name, "kind", "must be a known kind")
	case len(r.Shares) == 0:
		return invalid(r.Name, "service", "must name at least one service")
	}
	if r.MaxAttempts < 1 {
		r.MaxAttempts = 1
	}
	return nil
}

func invalid(route, field, detail string) error {
	return result.New(result.ConfigInvalid, "route %q: %s", route, detail).WithField(field)
}

// Routes counts the routes.
func (c *Catalog) Routes() int { return c.routes }

// Find returns the route of a host and path: of the host's routes, the one
// with the longest prefix of the path; nil if there is none.
func (c *Catalog) Find(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ServiceFor returns the service that a request goes to. Requests are spread
// over the shares by the hash of their id, so that every node decides alike.
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Allows reports whether the route may send requests to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// RequestServices lists the services to which requests of clients may go, and those that
// serve no models, to which reward calls go.
func (c *Catalog) RequestServices() []string {
	wanted := make(map[string]struct{})
	for name, service := range c.Services {
		if len(service.Models) == 0 {
			wanted[name] = struct{}{}
		}
	}
	for _, group := range c.byHost {
		for _, route := range group {
			if route.Kind == Rollout {
				continue
			}
			for _, share := range route.Shares {
				wanted[share.Service] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(wanted))
}
