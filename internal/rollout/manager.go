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

// Progress receives the progress of an attempt.
type Progress interface {
	// EngineSelected reports the engine that serves the attempt.
	EngineSelected(engine string)
	// Chunk reports generated tokens; false asks the generator to stop.
	Chunk(tokens []string, version uint64) bool
}

// Generator runs one attempt on an engine until it ends. It returns the finish
// reason, or an error if the attempt failed.
type Generator interface {
	Generate(ctx context.Context, tenant, model string, request AttemptRequest, progress Progress) (finishReason string, err error)
}

const (
	// tickInterval is how often jobs are checked for slots to start or hedge.
	tickInterval = 50 * time.Millisecond
	// jobExpiry is the time without a pull after which a job is dropped.
	jobExpiry = 15 * time.Minute
)

type jobKey struct{ tenant, id string }

// runningJob is a job with the cancel functions of its running attempts, by attempt id.
type runningJob struct {
	key            jobKey
	model          string
	job            *Job
	encodedPrompts []byte // JSON of the prompts, compared when a job is submitted again
	cancels        map[string]context.CancelFunc
	// changed is closed and replaced whenever an attempt finishes or the job is removed.
	changed chan struct{}
}

// Manager drives the jobs that this node owns. It is safe for concurrent use.
type Manager struct {
	generator Generator
	logger    *event.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	waitGroup conc.WaitGroup

	mutex    sync.Mutex
	jobs     map[jobKey]*runningJob
	draining bool
}

// NewManager returns a manager without jobs and starts its tick loop. The caller must
// call Close.
func NewManager(generator Generator, logger *event.Logger) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	manager := &Manager{generator: generator, logger: logger, ctx: ctx, cancel: cancel, jobs: make(map[jobKey]*runningJob)}
	manager.waitGroup.Go(manager.tickLoop)
	return manager
}

// Close cancels every attempt and waits until all have ended.
func (m *Manager) Close() {
	m.cancel()
	m.waitGroup.Wait()
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
	for _, running := range m.sortedJobs() {
		if now.Sub(running.job.LastPull()) > jobExpiry {
			m.logger.Log(event.JobExpired, "tenant", running.key.tenant, "job", running.key.id)
			m.remove(running)
			continue
		}
		m.advance(running, now)
	}
}

// sortedJobs returns the jobs by tenant and id, so that runs are reproducible.
func (m *Manager) sortedJobs() []*runningJob {
	return slices.SortedFunc(maps.Values(m.jobs), func(a, b *runningJob) int {
		return cmp.Or(cmp.Compare(a.key.tenant, b.key.tenant), cmp.Compare(a.key.id, b.key.id))
	})
}

// advance cancels the attempts that the job dropped and starts those that are due. The
// caller holds m.mutex.
func (m *Manager) advance(running *runningJob, now time.Time) {
	m.stopCancelled(running)
	if m.draining {
		return
	}
	for _, request := range running.job.StartAttempts(now) {
		ctx, cancel := context.WithCancel(m.ctx)
		running.cancels[request.Attempt] = cancel
		m.waitGroup.Go(func() { m.run(ctx, running, request) })
	}
}

// stopCancelled stops the attempts that the job cancelled. The caller holds m.mutex.
func (m *Manager) stopCancelled(running *runningJob) {
	for _, id := range running.job.TakeCancelled() {
		if cancel, ok := running.cancels[id]; ok {
			cancel()
			delete(running.cancels, id)
		}
	}
}

// remove drops a job, cancels its attempts and wakes up waiting pulls. The caller holds
// m.mutex.
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

// attemptProgress reports one attempt's progress to its job. It implements Progress.
type attemptProgress struct {
	manager *Manager
	running *runningJob
	request AttemptRequest
}

func (p *attemptProgress) EngineSelected(engine string) {
	p.manager.mutex.Lock()
	defer p.manager.mutex.Unlock()
	p.running.job.SetEngine(p.request.Slot, p.request.Attempt, engine)
}

func (p *attemptProgress) Chunk(tokens []string, version uint64) bool {
	p.manager.mutex.Lock()
	defer p.manager.mutex.Unlock()
	return p.running.job.AddTokens(clock.Now(), p.request.Slot, p.request.Attempt, tokens, version)
}

func (m *Manager) run(ctx context.Context, running *runningJob, request AttemptRequest) {
	progress := &attemptProgress{manager: m, running: running, request: request}
	reason, err := m.generator.Generate(ctx, running.key.tenant, running.model, request, progress)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if cancel, ok := running.cancels[request.Attempt]; ok {
		cancel()
		delete(running.cancels, request.Attempt)
	}
	if err != nil {
		running.job.FailAttempt(clock.Now(), request.Slot, request.Attempt)
		m.logger.Log(event.SampleRestarted, "job", running.key.id, "slot", request.Slot, "error", err.Error())
		return
	}
	running.job.CompleteAttempt(clock.Now(), request.Slot, request.Attempt, reason)
	m.stopCancelled(running)
	running.notify()
	m.advance(running, clock.Now())
}

// Submit accepts a job. Submitting the same job again only records its cursor and
// trainer version; the same id with another model or other prompts is a JobConflict.
func (m *Manager) Submit(tenant string, spec Spec, policy Policy) error {
	encoded, err := json.Marshal(spec.Prompts)
	if err != nil {
		return result.Wrap(result.MalformedRequest, err, "encode prompts")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.draining {
		return result.New(result.Draining, "node is draining and hands over its jobs")
	}
	key := jobKey{tenant, spec.JobID}
	now := clock.Now()
	if existing, ok := m.jobs[key]; ok {
		if existing.model != spec.Model || !bytes.Equal(existing.encodedPrompts, encoded) {
			return result.New(result.JobConflict, "job %q already exists with another model or other prompts", spec.JobID).WithField("job_id")
		}
		existing.job.Pull(now, Pull{TrainerVersion: spec.TrainerVersion, Held: spec.Held, MaxSamples: 1})
		return nil
	}
	m.add(key, spec.Model, encoded, NewJob(spec, policy, now))
	m.logger.Log(event.JobAccepted, "tenant", tenant, "job", spec.JobID, "slots", spec.Slots())
	return nil
}

func (m *Manager) add(key jobKey, model string, encoded []byte, job *Job) {
	running := &runningJob{
		key: key, model: model, job: job, encodedPrompts: encoded,
		cancels: make(map[string]context.CancelFunc), changed: make(chan struct{}),
	}
	m.jobs[key] = running
	m.advance(running, clock.Now())
}

// Model returns the model of a job; false if this node does not own the job.
func (m *Manager) Model(tenant, id string) (string, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	running, ok := m.jobs[jobKey{tenant, id}]
	if !ok {
		return "", false
	}
	return running.model, true
}

// Pull returns samples of a job. If none is ready, it waits for one for up to
// pull.WaitMS.
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
			return PullAnswer{}, result.Interrupted(ctx)
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

// Cancel drops a job. It is idempotent: an unknown job is ignored.
func (m *Manager) Cancel(tenant, id string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if running, ok := m.jobs[jobKey{tenant, id}]; ok {
		m.logger.Log(event.JobCancelled, "tenant", tenant, "job", id)
		m.remove(running)
	}
}

// BeginHandover stops accepting jobs and starting attempts, and returns the state of
// every job for another node. Running attempts are cancelled; the handover contains
// their tokens if the policy resumes failed attempts.
func (m *Manager) BeginHandover() []Handover {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.draining = true
	now := clock.Now()
	var handovers []Handover
	for _, running := range m.sortedJobs() {
		handovers = append(handovers, running.job.Export(running.key.tenant, now))
		m.remove(running)
	}
	return handovers
}

// Accept adds a job that another node handed over; a job that is already here is kept.
func (m *Manager) Accept(handover Handover, policy Policy) error {
	encoded, err := json.Marshal(handover.Spec.Prompts)
	if err != nil {
		return result.Wrap(result.MalformedRequest, err, "encode prompts")
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.draining {
		return result.New(result.Draining, "node is draining and hands over its own jobs")
	}
	key := jobKey{handover.Tenant, handover.Spec.JobID}
	if _, ok := m.jobs[key]; ok {
		return nil
	}
	m.add(key, handover.Spec.Model, encoded, Import(handover, policy, clock.Now()))
	return nil
}

// JobStatus describes a job on the status page.
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

// Status returns the status of this node's jobs, sorted by tenant and id.
func (m *Manager) Status() []JobStatus {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var statuses []JobStatus
	for _, running := range m.sortedJobs() {
		job := running.job
		statuses = append(statuses, JobStatus{
			Tenant: running.key.tenant, JobID: running.key.id, Model: running.model, Slots: len(job.slots), Remaining: job.Remaining(),
			Running: job.Running(), Ready: job.Ready(), Counters: job.Counters(),
		})
	}
	return statuses
}
