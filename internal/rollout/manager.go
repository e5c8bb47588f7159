package rollout

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/result"
)

// Progress receives what an attempt produces.
type Progress interface {
	// Placed tells the engine that serves the attempt.
	Placed(engine string)
	// Chunk hands over tokens; false asks the generator to stop.
	Chunk(tokens []string, version uint64) bool
}

// Generator runs one attempt on an engine until it ends. It returns the finish
// reason, or an error if the attempt broke.
type Generator interface {
	Generate(ctx context.Context, tenant, model string, start Start, progress Progress) (finishReason string, err error)
}

const (
	// tickInterval is how often jobs look for slots to start or hedge.
	tickInterval = 50 * time.Millisecond
	// jobExpiry is how long a job is kept without a pull.
	jobExpiry = 15 * time.Minute
)

type jobKey struct{ tenant, id string }

type runningJob struct {
	key     jobKey
	model   string
	job     *Job
	encoded []byte // the prompts, to compare resubmissions
	cancels map[string]context.CancelFunc
	// changed is closed and replaced whenever a sample becomes ready.
	changed chan struct{}
}

// Manager drives the jobs that this node owns. It is safe for concurrent use.
type Manager struct {
	generator Generator
	logger    *event.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	group     conc.WaitGroup

	mutex    sync.Mutex
	jobs     map[jobKey]*runningJob
	stopping bool
}

// NewManager returns a manager without jobs. Close must be called.
func NewManager(generator Generator, logger *event.Logger) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	manager := &Manager{generator: generator, logger: logger, ctx: ctx, cancel: cancel, jobs: make(map[jobKey]*runningJob)}
	manager.group.Go(manager.tickLoop)
	return manager
}

// Close cancels every attempt and waits for its end.
func (m *Manager) Close() {
	m.cancel()
	m.group.Wait()
}

func (m *Manager) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			m.tick()
		}
	}
}

func (m *Manager) tick() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := clock.Now()
	for _, running := range m.ordered() {
		if now.Sub(running.job.LastPull()) > jobExpiry {
			m.logger.Log(event.JobExpired, "tenant", running.key.tenant, "job", running.key.id)
			m.remove(running)
			continue
		}
		m.advance(running, now)
	}
}

// ordered returns the jobs by tenant and id, so that runs repeat.
func (m *Manager) ordered() []*runningJob {
	return slices.SortedFunc(maps.Values(m.jobs), func(a, b *runningJob) int {
		return cmp.Or(cmp.Compare(a.key.tenant, b.key.tenant), cmp.Compare(a.key.id, b.key.id))
	})
}

// advance stops what is cancelled and starts what is due. The mutex is held.
func (m *Manager) advance(running *runningJob, now time.Time) {
	m.stopCancelled(running)
	if m.stopping {
		return
	}
	for _, start := range running.job.Starts(now) {
		ctx, cancel := context.WithCancel(m.ctx)
		running.cancels[start.Attempt] = cancel
		m.group.Go(func() { m.run(ctx, running, start) })
	}
}

func (m *Manager) stopCancelled(running *runningJob) {
	for _, id := range running.job.TakeCancelled() {
		if cancel, ok := running.cancels[id]; ok {
			cancel()
			delete(running.cancels, id)
		}
	}
}

func (m *Manager) remove(running *runningJob) {
	delete(m.jobs, running.key)
	for _, attempt := range slices.Sorted(maps.Keys(running.cancels)) {
		running.cancels[attempt]()
	}
	clear(running.cancels)
	running.notify()
}

func (r *runningJob) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// attemptProgress feeds one attempt's output into its job.
type attemptProgress struct {
	manager *Manager
	running *runningJob
	start   Start
}

func (p *attemptProgress) Placed(engine string) {
	p.manager.mutex.Lock()
	defer p.manager.mutex.Unlock()
	p.running.job.Placed(p.start.Slot, p.start.Attempt, engine)
}

func (p *attemptProgress) Chunk(tokens []string, version uint64) bool {
	p.manager.mutex.Lock()
	defer p.manager.mutex.Unlock()
	return p.running.job.Progress(clock.Now(), p.start.Slot, p.start.Attempt, tokens, version)
}

// longestRest bounds the rest of a slot whose prompt is kept from engines: it may be cleared
// sooner.
const longestRest = 5 * time.Second

// restAfter is how long a slot rests after an attempt that failed.
func restAfter(err error) time.Duration {
	if !result.Is(err, result.RequestQuarantined) {
		return retryPause
	}
	return min(max(result.From(err).RetryAfter, retryPause), longestRest)
}

func (m *Manager) run(ctx context.Context, running *runningJob, start Start) {
	progress := &attemptProgress{manager: m, running: running, start: start}
	reason, err := m.generator.Generate(ctx, running.key.tenant, running.model, start, progress)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if cancel, ok := running.cancels[start.Attempt]; ok {
		cancel()
		delete(running.cancels, start.Attempt)
	}
	if err != nil {
		now := clock.Now()
		running.job.FailedUntil(now, now.Add(restAfter(err)), start.Slot, start.Attempt)
		m.logger.Log(event.SampleRestarted, "job", running.key.id, "slot", start.Slot, "error", err.Error())
		return
	}
	running.job.Finished(clock.Now(), start.Slot, start.Attempt, reason)
	m.stopCancelled(running)
	running.notify()
	m.advance(running, clock.Now())
}

// Submit accepts a job. Submitting the same job again is harmless and records
// its cursor; the same id with other prompts is a conflict.
func (m *Manager) Submit(tenant string, spec Spec, policy Policy) error {
	encoded, err := json.Marshal(spec.Prompts)
	if err != nil {
		return result.Wrap(result.MalformedRequest, err, "encode prompts")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopping {
		return result.New(result.Draining, "this node hands its jobs over")
	}
	key := jobKey{tenant, spec.JobID}
	now := clock.Now()
	if present, ok := m.jobs[key]; ok {
		if present.model != spec.Model || !bytes.Equal(present.encoded, encoded) {
			return result.New(result.JobConflict, "job %q was submitted with other prompts", spec.JobID).WithField("job_id")
		}
		present.job.Pull(now, Pull{TrainerVersion: spec.TrainerVersion, Held: spec.Held, MaxSamples: 1})
		return nil
	}
	m.add(key, spec.Model, encoded, NewJob(spec, policy, now))
	m.logger.Log(event.JobAccepted, "tenant", tenant, "job", spec.JobID, "slots", spec.Slots())
	return nil
}

func (m *Manager) add(key jobKey, model string, encoded []byte, job *Job) {
	running := &runningJob{
		key: key, model: model, job: job, encoded: encoded,
		cancels: make(map[string]context.CancelFunc), changed: make(chan struct{}),
	}
	m.jobs[key] = running
	m.advance(running, clock.Now())
}

// Model returns the model of a job; false if this node does not own it.
func (m *Manager) Model(tenant, id string) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	running, ok := m.jobs[jobKey{tenant, id}]
	if !ok {
		return "", false
	}
	return running.model, true
}

// Pull returns samples of a job, waiting for the first if none is ready.
func (m *Manager) Pull(ctx context.Context, tenant, id string, pull Pull, policy Policy) (PullAnswer, error) {
	deadline := time.Now().Add(time.Duration(pull.WaitMS) * time.Millisecond)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		answer, changed, err := m.pullOnce(tenant, id, pull, policy)
		waiting := err == nil && len(answer.Samples) == 0 && answer.Remaining > 0
		if !waiting || !time.Now().Before(deadline) {
			return answer, err
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return PullAnswer{}, result.New(result.CallerGone, "the trainer went away")
		}
	}
}

func (m *Manager) pullOnce(tenant, id string, pull Pull, policy Policy) (PullAnswer, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	running, ok := m.jobs[jobKey{tenant, id}]
	if !ok {
		return PullAnswer{}, nil, result.New(result.JobUnknown, "no job %q on this node", id)
	}
	if err := pull.Held.Validate(len(running.job.slots)); err != nil {
		return PullAnswer{}, nil, err
	}
	now := clock.Now()
	running.job.SetPolicy(policy)
	answer := running.job.Pull(now, pull)
	m.advance(running, now)
	if running.job.Remaining() == 0 {
		m.logger.Log(event.JobCompleted, "tenant", tenant, "job", id)
		m.remove(running)
	}
	return answer, running.changed, nil
}

// Cancel drops a job. An unknown job is no error: it is gone either way.
func (m *Manager) Cancel(tenant, id string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if running, ok := m.jobs[jobKey{tenant, id}]; ok {
		m.logger.Log(event.JobCancelled, "tenant", tenant, "job", id)
		m.remove(running)
	}
}

// BeginHandover stops new attempts and returns every job for another node.
// Running attempts are cancelled: their tokens are in the handover.
func (m *Manager) BeginHandover() []Handover {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopping = true
	now := clock.Now()
	var handovers []Handover
	for _, running := range m.ordered() {
		handovers = append(handovers, running.job.Export(running.key.tenant, now))
		m.remove(running)
	}
	return handovers
}

// Accept takes over a job of another node.
func (m *Manager) Accept(handover Handover, policy Policy) error {
	encoded, err := json.Marshal(handover.Spec.Prompts)
	if err != nil {
		return result.Wrap(result.MalformedRequest, err, "encode prompts")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopping {
		return result.New(result.Draining, "this node hands its own jobs over")
	}
	key := jobKey{handover.Tenant, handover.Spec.JobID}
	if _, ok := m.jobs[key]; ok {
		return nil
	}
	m.add(key, handover.Spec.Model, encoded, Import(handover, policy, clock.Now()))
	return nil
}

// JobStatus describes a job for the status page.
type JobStatus struct {
	Tenant    string   `json:"tenant"`
	JobID     string   `json:"job_id"`
	Model     string   `json:"model"`
	Slots     int      `json:"slots"`
	Remaining int      `json:"remaining"`
	Running   int      `json:"running"`
	Ready     int      `json:"ready"`
	Counters  Counters `json:"counters"`
}

// Status lists the jobs of this node.
func (m *Manager) Status() []JobStatus {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var statuses []JobStatus
	for _, running := range m.ordered() {
		job := running.job
		statuses = append(statuses, JobStatus{
			Tenant: running.key.tenant, JobID: running.key.id, Model: running.model, Slots: len(job.slots), Remaining: job.Remaining(),
			Running: job.Running(), Ready: job.Ready(), Counters: job.Counters(),
		})
	}
	return statuses
}
