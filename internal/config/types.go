// Package config defines the configuration that operators declare: templates, tenants and
// their parameters. It parses YAML files strictly, merges templates into tenants, validates
// the result, and encodes the single document that is published to the platform's log.
//
// LoadPath loads and validates a file or a directory, Encode encodes the result, and nodes
// use Decode on the published document. Every fault in a declaration is reported as a
// *Problem with its file, line, field and fix.
package config

import "time"

// Document is a complete configuration in which all templates are resolved.
type Document struct {
	Tenants []Tenant `yaml:"tenants" validate:"dive" doc:"All tenants, ordered by name."`
}

// Tenant is the resolved configuration of one tenant.
type Tenant struct {
	Name string     `yaml:"name" validate:"required,dns_label" doc:"Name of the tenant, used in URLs."`
	Spec TenantSpec `yaml:"spec" validate:"required" doc:"Settings of the tenant."`
}

// TenantSpec holds the settings of a tenant.
type TenantSpec struct {
	Capacity Capacity `yaml:"capacity" doc:"How much the tenant may use."`
	Models   []Model  `yaml:"models,omitempty" validate:"unique=Name,dive" doc:"Models that the tenant samples from."`
	Routes   []Route  `yaml:"routes,omitempty" validate:"unique=Name,dive" doc:"Application requests that the tenant accepts."`
}

// Capacity limits how much of the cluster a tenant may use.
type Capacity struct {
	RequestsPerSecond  float64 `yaml:"requests_per_second" validate:"gt=0" doc:"Sustained application requests a second over the whole cluster."`
	Burst              int     `yaml:"burst" validate:"gte=1" doc:"Requests that may arrive at once over the whole cluster."`
	ConcurrentRequests int     `yaml:"concurrent_requests" validate:"gte=1" doc:"Application requests in progress per node."`
	QueueLength        int     `yaml:"queue_length" validate:"gte=0" doc:"Application requests waiting per node."`
	ConcurrentSamples  int     `yaml:"concurrent_samples" validate:"gte=1" doc:"Samples being generated at once per job."`
}

// Model declares a model and how its samples are generated.
type Model struct {
	Name       string          `yaml:"name" validate:"required,dns_label" doc:"Name of the model."`
	Pool       string          `yaml:"pool" validate:"required,dns_label" doc:"Pool of engines that serve the model."`
	Adapter    string          `yaml:"adapter,omitempty" validate:"omitempty,dns_label" doc:"Adapter that every engine of the pool must hold."`
	Version    VersionPolicy   `yaml:"version" doc:"Which weight version is sampled from."`
	Freshness  Freshness       `yaml:"freshness" doc:"How old a delivered sample may be."`
	Stragglers StragglerPolicy `yaml:"stragglers" doc:"What happens to samples that run long."`
	Switch     SwitchPolicy    `yaml:"switch" doc:"How engines change to new weights."`
	MaxTokens  int             `yaml:"max_tokens" validate:"gte=1,lte=1000000" doc:"Longest generation in tokens."`
}

// VersionPolicy selects the weight version from which samples are generated.
type VersionPolicy struct {
	Follow string `yaml:"follow" validate:"oneof=trainer pinned" doc:"trainer: the newest version that a trainer announced; pinned: the version in pin."`
	Pin    uint64 `yaml:"pin,omitempty" validate:"required_if=Follow pinned" doc:"Weight version when follow is pinned."`
}

// Freshness limits the age of a sample at the time a trainer receives it.
type Freshness struct {
	MaxVersions uint64        `yaml:"max_versions" validate:"lte=1000" doc:"Versions that the oldest token may be behind the trainer."`
	MaxAge      time.Duration `yaml:"max_age" validate:"gt=0" doc:"Time since the oldest token was generated."`
}

// StragglerPolicy controls the handling of samples that take long to generate.
type StragglerPolicy struct {
	Policy     string        `yaml:"policy" validate:"oneof=carry_over restart" doc:"carry_over: a broken sample resumes at another engine; restart: it starts anew."`
	HedgeAfter time.Duration `yaml:"hedge_after,omitempty" validate:"gte=0" doc:"Start a second attempt of a sample that made no progress for this long; 0 never."`
}

// SwitchPolicy controls how engines switch to another weight version.
type SwitchPolicy struct {
	Policy            string `yaml:"policy" validate:"oneof=continue restart" doc:"continue: running samples go on with new weights; restart: they start anew."`
	MinServingPercent int    `yaml:"min_serving_percent" validate:"gte=0,lte=99" doc:"Share of the pool that keeps serving during a switch."`
}

// Route declares a kind of application request and how it is served.
type Route struct {
	Name         string        `yaml:"name" validate:"required,dns_label" doc:"Name of the route, used in URLs."`
	Pool         string        `yaml:"pool" validate:"required,dns_label" doc:"Pool of back ends that serve the route."`
	AtMostOnce   bool          `yaml:"at_most_once,omitempty" doc:"Never run a request of this route twice."`
	Deadline     time.Duration `yaml:"deadline" validate:"gt=0" doc:"Deadline when the caller states none, and the longest it may state."`
	Priority     string        `yaml:"priority" validate:"oneof=critical high normal low" doc:"Order in the queue and under overload."`
	MaxAttempts  int           `yaml:"max_attempts" validate:"gte=1,lte=10" doc:"Back ends tried for one request."`
	MaxBodyBytes int64         `yaml:"max_body_bytes" validate:"gte=1" doc:"Largest request body in bytes."`
}

// Defaults of fields that a declaration omits or sets to their zero value.
const (
	DefaultBurst              = 100
	DefaultConcurrentRequests = 256
	DefaultQueueLength        = 512
	DefaultConcurrentSamples  = 256
	DefaultMaxAge             = 10 * time.Minute
	DefaultMinServingPercent  = 80
	DefaultMaxTokens          = 4096
	DefaultDeadline           = 5 * time.Second
	DefaultMaxAttempts        = 3
	DefaultMaxBodyBytes       = 64 << 20
	defaultRequestsPerSecond  = 1000
)

// applyDefaults sets every field that has a default and is at its zero value.
func (s *TenantSpec) applyDefaults() {
	setDefault(&s.Capacity.RequestsPerSecond, defaultRequestsPerSecond)
	setDefault(&s.Capacity.Burst, DefaultBurst)
	setDefault(&s.Capacity.ConcurrentRequests, DefaultConcurrentRequests)
	setDefault(&s.Capacity.QueueLength, DefaultQueueLength)
	setDefault(&s.Capacity.ConcurrentSamples, DefaultConcurrentSamples)
	for i := range s.Models {
		s.Models[i].applyDefaults()
	}
	for i := range s.Routes {
		s.Routes[i].applyDefaults()
	}
}

func (m *Model) applyDefaults() {
	setDefault(&m.Version.Follow, "trainer")
	setDefault(&m.Freshness.MaxAge, DefaultMaxAge)
	setDefault(&m.Stragglers.Policy, "carry_over")
	setDefault(&m.Switch.Policy, "continue")
	setDefault(&m.Switch.MinServingPercent, DefaultMinServingPercent)
	setDefault(&m.MaxTokens, DefaultMaxTokens)
}

func (r *Route) applyDefaults() {
	setDefault(&r.Deadline, DefaultDeadline)
	setDefault(&r.Priority, "normal")
	setDefault(&r.MaxAttempts, DefaultMaxAttempts)
	setDefault(&r.MaxBodyBytes, DefaultMaxBodyBytes)
}

// setDefault sets a field that is at its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// FindTenant returns the tenant with the given name, or nil if there is none.
func (d *Document) FindTenant(name string) *Tenant {
	for i := range d.Tenants {
		if d.Tenants[i].Name == name {
			return &d.Tenants[i]
		}
	}
	return nil
}

// FindRoute returns the route with the given name, or nil if there is none.
func (t *Tenant) FindRoute(name string) *Route {
	for i := range t.Spec.Routes {
		if t.Spec.Routes[i].Name == name {
			return &t.Spec.Routes[i]
		}
	}
	return nil
}

// FindModel returns the model with the given name, or nil if there is none.
func (t *Tenant) FindModel(name string) *Model {
	for i := range t.Spec.Models {
		if t.Spec.Models[i].Name == name {
			return &t.Spec.Models[i]
		}
	}
	return nil
}
