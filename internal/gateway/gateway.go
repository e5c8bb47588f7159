package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/rollout"
)

// Configuration is the configuration in force.
type Configuration interface {
	// Current returns the document and its revision; nil before there is one.
	Current() (*config.Document, uint64)
}

// Admission lets application requests start.
type Admission interface {
	Enter(ctx context.Context, tenant string, priority admission.Priority, deadline time.Time) (func(), error)
}

// Dispatcher carries application requests to back ends.
type Dispatcher interface {
	Do(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error)
}

// Completer runs single generations.
type Completer interface {
	Complete(ctx context.Context, completion Completion, deliver func(engine.Chunk) error) error
}

// Completion is a caller's generation request.
type Completion struct {
	Tenant    string
	Model     *config.Model
	RequestID string
	Prompt    string
	MaxTokens int
	Seed      uint64
	Priority  admission.Priority
}

// Jobs serves trainers, wherever the job's owner is.
type Jobs interface {
	Submit(ctx context.Context, tenant string, spec rollout.Spec) error
	Pull(ctx context.Context, tenant, jobID string, pull rollout.Pull) (rollout.PullAnswer, error)
	Cancel(ctx context.Context, tenant, jobID string) error
	// Announce states a new weight version.
	Announce(ctx context.Context, tenant, model string, version uint64) error
}

// Recorder counts what the gateway answers.
type Recorder interface {
	Record(tenant, route string, code result.Code, duration time.Duration)
}

// Services are what the gateway calls.
type Services struct {
	Configuration Configuration
	Admission     Admission
	Dispatcher    Dispatcher
	// Keyed runs at-most-once requests with an idempotency key.
	Keyed     Dispatcher
	Completer Completer
	Jobs      Jobs
	Recorder  Recorder
	Logger    *event.Logger
	NewID     func() string
	NodeID    string
}

// Limits of the interface.
const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout bounds the time to send it.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxJobBytes bounds a job submission.
	maxJobBytes = 64 << 20
	// maxJSONBytes bounds the other JSON bodies.
	maxJSONBytes = 4 << 20
	// jsonBodyTimeout bounds the time to send a JSON body.
	jsonBodyTimeout = 30 * time.Second
)

// Gateway is the HTTP interface. It implements http.Handler.
type Gateway struct {
	services Services
	router   *httprouter.Router

	mutex    sync.Mutex
	draining bool
	active   int
	idle     chan struct{}
}

// New returns a gateway over services.
func New(services Services) *Gateway {
	g := &Gateway{services: services, router: httprouter.New(), idle: make(chan struct{})}
	g.router.RedirectTrailingSlash = false
	g.router.RedirectFixedPath = false
	g.router.HandleMethodNotAllowed = false
	g.router.NotFound = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		g.refuse(writer, result.New(result.UnknownPath, "no %s %s", request.Method, request.URL.Path))
	})
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		g.router.Handle(method, "/v1/tenants/:tenant/routes/:route", g.handleApplication)
		g.router.Handle(method, "/v1/tenants/:tenant/routes/:route/*rest", g.handleApplication)
	}
	g.router.POST("/v1/tenants/:tenant/models/:model/completions", g.handleCompletion)
	g.router.POST("/v1/tenants/:tenant/models/:model/version", g.handleVersion)
	g.router.POST("/v1/tenants/:tenant/jobs", g.handleSubmit)
	g.router.POST("/v1/tenants/:tenant/jobs/:job/pull", g.handlePull)
	g.router.DELETE("/v1/tenants/:tenant/jobs/:job", g.handleCancel)
	return g
}

// Server returns an HTTP server for the gateway with its limits.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !g.begin() {
		writer.Header().Set("Connection", "close")
		g.refuse(writer, result.New(result.Draining, "this node is leaving"))
		return
	}
	defer g.end()
	defer g.recoverPanic(writer)
	g.router.ServeHTTP(writer, request)
}

func (g *Gateway) begin() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return false
	}
	g.active++
	return true
}

func (g *Gateway) end() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active--
	if g.draining && g.active == 0 {
		close(g.idle)
	}
}

// Drain refuses new requests as not run from now on. The channel is closed when
// the last request in progress has its answer.
func (g *Gateway) Drain() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.draining {
		g.draining = true
		if g.active == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

// Active counts the requests in progress.
func (g *Gateway) Active() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.active
}

func (g *Gateway) recoverPanic(writer http.ResponseWriter) {
	reason := recover()
	if reason == nil {
		return
	}
	if reason == http.ErrAbortHandler {
		panic(reason) // the way to cut off an answer that cannot be completed
	}
	g.services.Logger.Log(event.HandlerPanicked, "reason", reason, "stack", string(debug.Stack()))
	g.refuse(writer, result.New(result.Internal, "the handler failed"))
}

// tenant finds the tenant of a request in the configuration in force.
func (g *Gateway) tenant(parameters httprouter.Params) (*config.Tenant, error) {
	document, _ := g.services.Configuration.Current()
	if document == nil {
		return nil, result.New(result.NotReady, "no configuration yet").WithRetryAfter(notReadyHint)
	}
	name := parameters.ByName("tenant")
	tenant := document.FindTenant(name)
	if tenant == nil {
		return nil, result.New(result.UnknownTenant, "no tenant %q", name)
	}
	return tenant, nil
}

// notReadyHint is the hint of a node that is starting.
const notReadyHint = 500 * time.Millisecond

// model finds a tenant's model.
func (g *Gateway) model(parameters httprouter.Params) (*config.Tenant, *config.Model, error) {
	tenant, err := g.tenant(parameters)
	if err != nil {
		return nil, nil, err
	}
	return findModel(tenant, parameters.ByName("model"))
}

func findModel(tenant *config.Tenant, name string) (*config.Tenant, *config.Model, error) {
	model := tenant.FindModel(name)
	if model == nil {
		return nil, nil, result.New(result.UnknownModel, "tenant %q has no model %q", tenant.Name, name)
	}
	return tenant, model, nil
}
