package gateway

import (
	"context"
	"net"
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

// Configuration provides the configuration that is in effect.
type Configuration interface {
	// Current returns the document and its revision; nil before the first one was
	// applied.
	Current() (*config.Document, uint64)
}

// Admission limits the requests in progress.
type Admission interface {
	// Acquire waits until a request may start and returns a function that ends it, or
	// returns an error if the request is rejected.
	Acquire(ctx context.Context, tenant string, priority admission.Priority, deadline time.Time) (func(), error)
}

// Dispatcher sends application requests to back ends.
type Dispatcher interface {
	Do(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error)
}

// Completer runs single generations and calls deliver for every chunk.
type Completer interface {
	Complete(ctx context.Context, completion Completion, deliver func(engine.Chunk) error) error
}

// Completion is a caller's request for one generation.
type Completion struct {
	Tenant    string
	Model     *config.Model
	RequestID string
	Prompt    string
	MaxTokens int
	Seed      uint64
	Priority  admission.Priority
}

// Jobs executes trainers' requests on the node that owns the job.
type Jobs interface {
	Submit(ctx context.Context, tenant string, spec rollout.Spec) error
	Pull(ctx context.Context, tenant, jobID string, pull rollout.Pull) (rollout.PullAnswer, error)
	Cancel(ctx context.Context, tenant, jobID string) error
	// AnnounceVersion records that a trainer published a weight version.
	AnnounceVersion(ctx context.Context, tenant, model string, version uint64) error
}

// Recorder records metrics of the gateway's answers.
type Recorder interface {
	Record(tenant, route string, code result.Code, duration time.Duration)
}

// Services are the dependencies of a Gateway.
type Services struct {
	Configuration Configuration
	Admission     Admission
	Dispatcher    Dispatcher
	// IdempotentDispatcher dispatches at-most-once requests that have an idempotency key.
	IdempotentDispatcher Dispatcher
	Completer            Completer
	Jobs                 Jobs
	Recorder             Recorder
	Logger               *event.Logger
	NewID                func() string
	NodeID               string
}

// Limits of the interface.
const (
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout limits the time to receive the header.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxJobBytes limits the body of a job submission.
	maxJobBytes = 64 << 20
	// maxJSONBytes limits the other JSON bodies.
	maxJSONBytes = 4 << 20
	// jsonBodyTimeout limits the time to receive a JSON body.
	jsonBodyTimeout = 30 * time.Second
)

// Gateway serves the HTTP interface. It implements http.Handler and is safe for
// concurrent use.
type Gateway struct {
	services Services
	router   *httprouter.Router
	// requests is the parent of the contexts of all requests, which cancel ends.
	requests context.Context
	cancel   context.CancelCauseFunc

	mutex    sync.Mutex
	draining bool
	active   int
	drained  chan struct{}
}

// New returns a gateway that calls services.
func New(services Services) *Gateway {
	g := &Gateway{services: services, router: httprouter.New(), drained: make(chan struct{})}
	g.requests, g.cancel = context.WithCancelCause(context.Background())
	g.router.RedirectTrailingSlash = false
	g.router.RedirectFixedPath = false
	g.router.HandleMethodNotAllowed = false
	g.router.NotFound = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		g.writeError(writer, result.New(result.UnknownPath, "no handler for %s %s", request.Method, request.URL.Path))
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

// Server returns an HTTP server for the gateway with the limits of the interface.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return g.requests },
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !g.beginRequest() {
		writer.Header().Set("Connection", "close")
		g.writeError(writer, result.New(result.Draining, "node is draining"))
		return
	}
	defer g.endRequest()
	defer g.recoverPanic(writer)
	g.router.ServeHTTP(writer, request)
}

// beginRequest counts a request as active; false if the gateway is draining.
func (g *Gateway) beginRequest() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return false
	}
	g.active++
	return true
}

func (g *Gateway) endRequest() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.active--
	if g.draining && g.active == 0 {
		close(g.drained)
	}
}

// Drain makes the gateway reject new requests with result.Draining, as not run. The
// returned channel is closed when the last request in progress has been answered.
func (g *Gateway) Drain() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.draining {
		g.draining = true
		if g.active == 0 {
			close(g.drained)
		}
	}
	return g.drained
}

// Interrupt cancels the requests in progress, which are answered with result.NodeStopped, or with
// a refusal if they were not run. Streams that have begun are cut off.
func (g *Gateway) Interrupt() { g.cancel(result.ErrNodeStopping) }

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int {
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
		panic(reason) // aborts the connection of an incomplete answer; net/http handles it
	}
	g.services.Logger.Log(event.HandlerPanicked, "reason", reason, "stack", string(debug.Stack()))
	g.writeError(writer, result.New(result.Internal, "request handler panicked"))
}

// tenant returns the tenant that the path names from the current configuration.
func (g *Gateway) tenant(parameters httprouter.Params) (*config.Tenant, error) {
	document, _ := g.services.Configuration.Current()
	if document == nil {
		return nil, result.New(result.NotReady, "no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	name := parameters.ByName("tenant")
	tenant := document.FindTenant(name)
	if tenant == nil {
		return nil, result.New(result.UnknownTenant, "no tenant %q", name)
	}
	return tenant, nil
}

// notReadyRetryAfter is the retry delay that a node without a configuration returns.
const notReadyRetryAfter = 500 * time.Millisecond

// model returns the tenant and model that the path names.
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
