package platformnode

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/result"
)

// Admitted describes a request that the configuration permits.
type Admitted struct {
	Route *catalog.Route
	// Tenant is the caller's tenant, the zero value if the route requires no key.
	Tenant credential.Tenant
	// Regions are those in which the request may be served: the intersection of the route's
	// and the tenant's regions.
	Regions locality.Regions
}

// Admit finds the route for a host and path and the tenant that holds the caller's key. A
// node that has just started briefly waits for its first configuration.
func (n *Node) Admit(ctx context.Context, host, path, key string) (Admitted, error) {
	current, err := n.configuration(ctx)
	if err != nil {
		return Admitted{}, err
	}
	route := current.Find(host, path)
	if route == nil {
		return Admitted{}, n.deny(result.New(result.UnknownRoute, "no route for host %q and path %q", host, path))
	}
	tenant, err := current.Authenticate(route, key)
	if err != nil {
		return Admitted{}, n.deny(err)
	}
	return Admitted{Route: route, Tenant: tenant, Regions: route.Regions.Intersect(tenant.Regions)}, nil
}

// Caller returns the tenant that holds a key. It serves calls about batch jobs, which name no
// route.
func (n *Node) Caller(ctx context.Context, key string) (credential.Tenant, error) {
	current, err := n.configuration(ctx)
	if err != nil {
		return credential.Tenant{}, err
	}
	tenant, err := current.TenantForKey(key)
	if err != nil {
		return tenant, n.deny(err)
	}
	return tenant, nil
}

// configuration returns the configuration in force. It returns a NotReady error if there is
// none, or if it is so old that keys in it may have been revoked.
func (n *Node) configuration(ctx context.Context) (*catalog.Catalog, error) {
	n.awaitConfiguration(ctx)
	current := n.catalog.Load()
	if current == nil {
		return nil, notReady("no configuration yet")
	}
	limit := n.settings.RevokeAfter
	if current.Keys != nil && limit > 0 && n.configurationAge() > limit {
		return nil, notReady("the configuration is older than the revocation limit, so keys in it may have been revoked")
	}
	return current, nil
}

// notReady returns a NotReady error with a jittered retry hint.
func notReady(detail string) error {
	return jitterRetryAfter(result.New(result.NotReady, "%s", detail).WithRetryAfter(notReadyRetryAfter))
}

// maxDenialAge is the largest age of a configuration by which a node denies a route or a key.
// A follower that reaches the log reads at least every 0.7 s. With an older configuration the
// caller is told to retry, so that it may reach another node.
const maxDenialAge = 1500 * time.Millisecond

// deny returns the denial if the node has the newest configuration, else a NotReady error: a
// node with an older one cannot tell an unknown key or route from one that was just added.
func (n *Node) deny(denial error) error {
	if n.configurationAge() <= maxDenialAge {
		return denial
	}
	return notReady("the route or key is not in this node's configuration, which may be out of date")
}

// configurationAge returns the time since the configuration was last known to be the newest.
func (n *Node) configurationAge() time.Duration {
	if n.configurationAgeFunc == nil {
		return 0
	}
	return n.configurationAgeFunc()
}

// SetConfigurationAge sets the function that returns the time since the configuration was last
// known to be the newest. It must be called before Start; without it the configuration always
// counts as the newest.
func (n *Node) SetConfigurationAge(age func() time.Duration) { n.configurationAgeFunc = age }

// keyCheck returns a function that checks whether the caller's key still belongs to its
// tenant. It is called before every attempt of a request.
func (n *Node) keyCheck(admitted Admitted, key string) func() error {
	return func() error {
		current := n.catalog.Load()
		tenant, err := current.Authenticate(admitted.Route, key)
		if err != nil {
			return n.deny(err)
		}
		if tenant.Name != admitted.Tenant.Name {
			return n.deny(result.New(result.Unauthenticated, "the key of the request now belongs to another tenant"))
		}
		return nil
	}
}

// mayAccessJob reports whether a tenant may read and end a job: its own, or any if the
// configuration has no keys.
func (n *Node) mayAccessJob(job *ledger.Job, tenant credential.Tenant) bool {
	if job.Spec.Tenant == tenant.Name {
		return true
	}
	current := n.catalog.Load()
	return current != nil && current.Keys == nil
}
