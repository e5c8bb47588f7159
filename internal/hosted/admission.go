package hosted

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/result"
)

// Admitted is a request that the configuration allows.
type Admitted struct {
	Route *catalog.Route
	// Tenant is who the caller calls for, the zero tenant if the route asks for none.
	Tenant credential.Tenant
	// Regions are those in which the request may be served: both the route's and the
	// tenant's bind.
	Regions locality.Regions
}

// Admit finds the route of a host and path and the tenant that holds the caller's
// key. A node that has just started waits a little for its first configuration.
func (n *Node) Admit(ctx context.Context, host, path, key string) (Admitted, error) {
	current, err := n.configuration(ctx)
	if err != nil {
		return Admitted{}, err
	}
	route := current.Find(host, path)
	if route == nil {
		return Admitted{}, n.deny(result.New(result.UnknownRoute, "no route for host %q and path %q", host, path))
	}
	tenant, err := current.Admit(route, key)
	if err != nil {
		return Admitted{}, n.deny(err)
	}
	return Admitted{Route: route, Tenant: tenant, Regions: route.Regions.And(tenant.Regions)}, nil
}

// Caller returns the tenant that holds a key, for calls about batch jobs, which name
// no route.
func (n *Node) Caller(ctx context.Context, key string) (credential.Tenant, error) {
	current, err := n.configuration(ctx)
	if err != nil {
		return credential.Tenant{}, err
	}
	tenant, err := current.Caller(key)
	if err != nil {
		return tenant, n.deny(err)
	}
	return tenant, nil
}

// configuration returns the configuration in force, or an error of NotReady.
func (n *Node) configuration(ctx context.Context) (*catalog.Catalog, error) {
	n.awaitConfigured(ctx)
	current := n.catalog.Load()
	if current == nil {
		return nil, notReady("no configuration yet")
	}
	limit := n.settings.RevokeAfter
	if current.Keys != nil && limit > 0 && n.configurationAge() > limit {
		return nil, notReady("keys may have been taken away that this node still holds")
	}
	return current, nil
}

func notReady(detail string) error {
	return spread(result.New(result.NotReady, "%s", detail).WithRetryAfter(notReadyHint))
}

// denialLimit is how old the configuration may be by which a node denies a route or a
// key: a follower that is in touch reads every 0.7 s or sooner. The caller of an older
// one is sent to another node.
const denialLimit = 1500 * time.Millisecond

// deny returns a denial if the node knows the newest configuration. A node that does
// not cannot tell a key or a route that was added meanwhile from one that never was.
func (n *Node) deny(denial error) error {
	if n.configurationAge() <= denialLimit {
		return denial
	}
	return notReady("not in the configuration that this node knows, which may be out of date")
}

// configurationAge is how long ago the configuration was last known to be the newest.
func (n *Node) configurationAge() time.Duration {
	if n.configurationAgeFunc == nil {
		return 0
	}
	return n.configurationAgeFunc()
}

// WatchConfiguration names what tells how long ago the node surely had the newest
// configuration. It must be called before Start; without it the node takes its
// configuration for the newest always.
func (n *Node) WatchConfiguration(age func() time.Duration) { n.configurationAgeFunc = age }

// permits returns a check whether a caller's key is still its tenant's, to be made
// before a request is sent once more.
func (n *Node) keyCheck(admitted Admitted, key string) func() error {
	return func() error {
		current := n.catalog.Load()
		tenant, err := current.Admit(admitted.Route, key)
		if err != nil {
			return n.deny(err)
		}
		if tenant.Name != admitted.Tenant.Name {
			return n.deny(result.New(result.Unauthenticated, "another tenant holds the key of the request by now"))
		}
		return nil
	}
}

// mayUse reports whether a tenant may read and end a job.
func (n *Node) mayUse(job *ledger.Job, tenant credential.Tenant) bool {
	if job.Spec.Tenant == tenant.Name {
		return true
	}
	current := n.catalog.Load()
	return current != nil && current.Keys == nil
}
