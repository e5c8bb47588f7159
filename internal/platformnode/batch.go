package platformnode

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/result"
)

// Submit stores a batch job of the tenant that its specification names. Submitting a known
// job again succeeds, unless it belongs to another tenant. The error LogUnavailable
// guarantees that the job was not accepted; with LogUnknown it may have been.
func (n *Node) Submit(ctx context.Context, id string, spec *pathbendv1.BatchJob, items []*pathbendv1.BatchItem) error {
	n.active.Add(1)
	defer n.active.Add(-1)
	began := time.Now()
	otherTenant := false
	known := func() bool {
		job := n.jobs.ledger.Job(id)
		otherTenant = job != nil && job.Spec.Tenant != spec.Tenant
		return job != nil
	}
	if _, already := n.jobs.check(known); already {
		return resubmissionError(id, otherTenant)
	}
	err := n.checkJobServable(spec, items)
	if err == nil {
		err = n.jobs.submit(ctx, id, spec, items, known)
	}
	took := time.Since(began)
	n.metrics.recordSubmission(err, took)
	if err != nil {
		n.logger.Log(event.BatchRefused, "job_id", id, "step", spec.Step, "took_ms", took.Milliseconds(), "detail", err.Error())
		return jitterRetryAfter(err)
	}
	if _, already := n.jobs.check(known); already && otherTenant {
		return resubmissionError(id, otherTenant)
	}
	n.logger.Log(event.BatchSubmitted, "job_id", id, "step", spec.Step, "model", spec.Model,
		"min_version", spec.MinVersion, "items", len(items), "wanted_groups", spec.WantedGroups, "took_ms", took.Milliseconds())
	return nil
}

// resubmissionError returns the result of submitting a job that is already known: an error if
// it belongs to another tenant.
func resubmissionError(id string, otherTenant bool) error {
	if otherTenant {
		return result.New(result.JobConflict, "job id %q is already in use", id)
	}
	return nil
}

// submit stores the items of a job and then the job itself. Items whose job is not stored
// never run.
func (s *jobStore) submit(ctx context.Context, id string, spec *pathbendv1.BatchJob, items []*pathbendv1.BatchItem, known func() bool) error {
	began := time.Now()
	timeout := s.submitTimeout()
	blobs, err := s.blobs.PutItems(ctx, timeout, items)
	if err != nil {
		return notAccepted(err)
	}
	spec.ItemIds, spec.Items = itemIDs(items), blobs
	entry := &pathbendv1.LedgerEntry{JobId: id, Fact: &pathbendv1.LedgerEntry_Submitted{Submitted: spec}}
	return s.record(ctx, timeout-time.Since(began), known, entry)
}

// submitTimeout returns how long a submission is retried before it is refused. A node
// that has not reached the log for a while refuses early, so that the caller can try
// another node or come back. A node that has just started and does not follow the log yet
// does not count as such.
func (s *jobStore) submitTimeout() time.Duration {
	if s.hasCurrentLog() || !s.following.Load() {
		return submitTimeout
	}
	return isolatedSubmitTimeout
}

// isolatedSubmitTimeout is the submission timeout of a node that cannot reach the log.
const isolatedSubmitTimeout = 400 * time.Millisecond

func itemIDs(items []*pathbendv1.BatchItem) []string {
	ids := make([]string, 0, len(items))
	for _, item := range items {
		ids = append(ids, item.Id)
	}
	return ids
}

// notAccepted converts a log error from storing a job's items into LogUnavailable, which
// guarantees that the job was not accepted: even if the items were stored, the job itself
// was never appended.
func notAccepted(err error) error {
	if result.Is(err, result.LogUnknown) || result.Is(err, result.LogUnavailable) {
		return result.Wrap(result.LogUnavailable, err, "store the items").WithRetryAfter(submitRetryAfter)
	}
	return err
}

// End ends a batch job of the tenant that holds the key.
func (n *Node) End(ctx context.Context, id, key string) error {
	n.active.Add(1)
	defer n.active.Add(-1)
	ended := func() bool {
		job := n.jobs.ledger.Job(id)
		return job != nil && job.Ended
	}
	if err := n.requireJob(ctx, id, key); err != nil {
		return err
	}
	if _, already := n.jobs.check(ended); already {
		return nil
	}
	entry := &pathbendv1.LedgerEntry{JobId: id, Fact: &pathbendv1.LedgerEntry_Ended{Ended: &pathbendv1.BatchEnd{}}}
	return jitterRetryAfter(n.jobs.record(ctx, submitTimeout, ended, entry))
}

// requireJob returns an error unless the job is known and belongs to the tenant that
// holds the key. It reads the log if the job is unknown. An invalid key is denied, except
// for a job of a route that requires none.
func (n *Node) requireJob(ctx context.Context, id, key string) error {
	tenant, denial := n.Caller(ctx, key)
	known, usable := false, false
	inspect := func(job *ledger.Job) {
		known = job != nil
		usable = known && (job.Spec.Tenant == "" || denial == nil && n.mayAccessJob(job, tenant))
	}
	n.jobs.view(id, inspect)
	switch {
	case usable:
		return nil
	case denial != nil:
		return denial
	case known:
		return unknownJob(id)
	}
	if err := n.jobs.refresh(ctx); err != nil {
		n.logger.Log(event.BatchReadRefused, "job_id", id, "detail", err.Error())
		return err
	}
	n.jobs.view(id, inspect)
	if !usable {
		return unknownJob(id)
	}
	return nil
}

// unknownJob is the error for a job that does not exist. A job of another tenant gets the
// same one, so that the answer does not reveal its existence.
func unknownJob(id string) error { return result.New(result.JobUnknown, "no batch job %q", id) }

// Page is a range of consecutive results of a job.
type Page struct {
	Total   int
	Results []ledger.Result
	// Texts holds the text of each result, in the same order; nil for dead items.
	Texts [][]byte
	// Next is the position after the last result of the page.
	Next int
}

// Results returns the results of a job of the tenant that holds the key, starting at
// position from. If there are none yet it waits for up to maxWait.
func (n *Node) Results(ctx context.Context, id, key string, from int, maxWait time.Duration) (Page, error) {
	n.active.Add(1)
	defer n.active.Add(-1)
	if err := n.requireJob(ctx, id, key); err != nil {
		return Page{}, err
	}
	began := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		page, changed, settled := n.jobs.page(id, from)
		if len(page.Results) > 0 {
			return n.readTexts(ctx, id, page, began)
		}
		if settled || n.Draining() || !n.jobs.await(waitCtx, changed) {
			break
		}
	}
	if err := n.jobs.ensureCurrent(ctx, id, from); err != nil {
		n.logger.Log(event.BatchReadRefused, "job_id", id, "from", from, "detail", err.Error())
		return Page{}, jitterRetryAfter(err)
	}
	page, _, _ := n.jobs.page(id, from)
	return n.readTexts(ctx, id, page, began)
}

// textReadTimeout bounds the time for reading the texts of a page; after it the page is cut
// before the first text that is missing. Callers wait 1.5 s beyond the long-poll time that
// they ask for; half of that is left for the connection and the transfer of the answer.
const textReadTimeout = 750 * time.Millisecond

// readTexts reads the texts of a page that was requested at requestedAt. If not all of them
// can be read in time, the page is cut before the first missing one.
func (n *Node) readTexts(ctx context.Context, id string, page Page, requestedAt time.Time) (Page, error) {
	pageReadAt := time.Now()
	var wanted []*pathbendv1.Blob
	for _, itemResult := range page.Results {
		if itemResult.Text != nil {
			wanted = append(wanted, itemResult.Text)
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, textReadTimeout)
	defer cancel()
	texts, err := n.jobs.blobs.GetUntilError(callCtx, wanted)
	total := page.fill(texts)
	switch {
	case err == nil:
	case len(page.Results) == 0:
		n.logger.Log(event.BatchReadRefused, "job_id", id, "texts", len(wanted), "detail", err.Error())
		return Page{}, jitterRetryAfter(err)
	default:
		n.logger.Log(event.PageCut, "job_id", id, "results", len(page.Results), "of", total, "detail", err.Error())
	}
	n.logger.Log(event.BatchRead, "job_id", id, "from", page.Next-len(page.Results), "next", page.Next, "total", page.Total,
		"held_ms", pageReadAt.Sub(requestedAt).Milliseconds(), "texts_ms", time.Since(pageReadAt).Milliseconds())
	return page, nil
}

// fill sets the texts of the page's results. texts holds those of the first results that
// have one; the page is cut before the first result whose text is missing. It returns the
// number of results before the cut.
func (p *Page) fill(texts [][]byte) (total int) {
	total = len(p.Results)
	p.Next -= total
	p.Texts = make([][]byte, 0, total)
	for _, itemResult := range p.Results {
		var text []byte
		if itemResult.Text != nil {
			if len(texts) == 0 {
				break
			}
			text, texts = texts[0], texts[1:]
		}
		p.Texts = append(p.Texts, text)
	}
	p.Results = p.Results[:len(p.Texts)]
	p.Next += len(p.Results)
	return total
}

// page returns the known results of a job starting at position from, up to maxPageBytes of
// text, and a channel that is closed at the next change. settled is true if no further
// results can follow.
func (s *jobStore) page(id string, from int) (page Page, changed <-chan struct{}, settled bool) {
	page.Results = []ledger.Result{}
	changed = s.view(id, func(job *ledger.Job) {
		if job == nil {
			settled = true
			return
		}
		page.Total = job.ItemCount()
		page.Next = from
		settled = job.Ended || job.Complete()
		bytes := 0
		for _, itemResult := range job.Results[min(from, len(job.Results)):] {
			if bytes += int(itemResult.Text.GetBytes()); bytes > maxPageBytes && len(page.Results) > 0 {
				break
			}
			page.Results = append(page.Results, itemResult)
		}
		page.Next += len(page.Results)
	})
	return page, changed, settled
}

// Body returns the body of an item that has no result yet, of a job of the tenant that
// holds the key. It returns ItemUnknown if there is no such item.
func (n *Node) Body(ctx context.Context, id, key, itemID string) ([]byte, error) {
	if err := n.requireJob(ctx, id, key); err != nil {
		return nil, err
	}
	var spec *pathbendv1.BatchJob
	n.jobs.view(id, func(job *ledger.Job) {
		if job != nil && job.HasItem(itemID) && !job.HasResult(itemID) {
			spec = job.Spec
		}
	})
	if spec != nil {
		items, err := n.jobs.blobs.GetItems(ctx, spec)
		if err != nil {
			n.logger.Log(event.BatchReadRefused, "job_id", id, "item_id", itemID, "detail", err.Error())
			return nil, jitterRetryAfter(err)
		}
		for _, item := range items {
			if item.Id == itemID {
				return item.Body, nil
			}
		}
	}
	return nil, result.New(result.ItemUnknown, "batch job %q has no open item %q", id, itemID)
}
