package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/rollout"
	"github.com/pathbend/pathbend/internal/weights"
)

const (
	// maxOwnersAsked limits the members that are asked for a job before it counts as
	// unknown. A job stays at its owner when a node joins that ranks higher, so the
	// owner may be the second or third in rank.
	maxOwnersAsked = 3
	// jobCallMargin is the timeout of a call to a job's owner beyond the wait of a
	// pull.
	jobCallMargin = 2 * time.Second
	// ownerRetryAfter is the retry-after hint when no owner answered.
	ownerRetryAfter = 200 * time.Millisecond
)

// jobs finds the owners of jobs and forwards the operations of trainers to them. It
// implements gateway.Jobs.
type jobs struct {
	node *Node
}

// jobOperation is an operation on a job, to be sent to its owner.
type jobOperation struct {
	kind   pathbendv1.JobCall_Operation
	tenant string
	jobID  string
	// body is sent as JSON.
	body any
	// wait is the time for which the owner may wait before it answers.
	wait time.Duration
}

// Submit implements gateway.Jobs.
func (j *jobs) Submit(ctx context.Context, tenant string, spec rollout.Spec) error {
	// A trainer that uses a version proves that the version was announced. This
	// restores the announced versions after all nodes were replaced at once.
	j.node.members.raiseVersion(weights.ModelKey{Tenant: tenant, Model: spec.Model}, spec.TrainerVersion)
	_, err := j.callFirstAvailable(ctx, jobOperation{
		kind: pathbendv1.JobCall_OPERATION_SUBMIT, tenant: tenant, jobID: spec.JobID, body: spec,
	})
	return err
}

// callFirstAvailable sends an operation to the members in rank order until one accepts or
// rejects it. Only members that take new work are asked.
func (j *jobs) callFirstAvailable(ctx context.Context, operation jobOperation) ([]byte, error) {
	var lastErr error
	for i, member := range j.node.members.owners(operation.tenant + "/" + operation.jobID) {
		if i == maxOwnersAsked || !member.Usable() {
			break
		}
		answer, err := j.call(ctx, member, operation)
		if err == nil || !shouldAskNext(err) {
			return answer, err
		}
		lastErr = err
	}
	return nil, ownerLostError(lastErr)
}

// shouldAskNext reports whether the next member in rank should be asked after an error.
func shouldAskNext(err error) bool {
	return result.Is(err, result.PeerUnreached) || result.Is(err, result.PeerLost) || result.Is(err, result.Draining)
}

// ownerLostError returns the error for an owner that did not answer.
func ownerLostError(cause error) error {
	if cause == nil {
		cause = errors.New("no live member")
	}
	return result.Wrap(result.JobOwnerLost, cause, "ask the job's owner").WithRetryAfter(ownerRetryAfter)
}

// Pull implements gateway.Jobs.
func (j *jobs) Pull(ctx context.Context, tenant, jobID string, pull rollout.Pull) (rollout.PullAnswer, error) {
	var answer rollout.PullAnswer
	content, err := j.callOwner(ctx, jobOperation{
		kind: pathbendv1.JobCall_OPERATION_PULL, tenant: tenant, jobID: jobID, body: pull,
		wait: time.Duration(pull.WaitMS) * time.Millisecond,
	})
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(content, &answer)
}

// callOwner sends an operation to the members in rank order until one knows the job. If none
// of those that answer knows it, the job is reported as unknown and the trainer submits it
// again. This is harmless even if an owner that cannot be reached still runs the job.
func (j *jobs) callOwner(ctx context.Context, operation jobOperation) ([]byte, error) {
	var lost error
	asked := 0
	for _, member := range j.node.members.owners(operation.tenant + "/" + operation.jobID) {
		if asked == maxOwnersAsked {
			break
		}
		content, err := j.call(ctx, member, operation)
		if err == nil || !shouldAskNext(err) && !result.Is(err, result.JobUnknown) {
			return content, err
		}
		if result.Is(err, result.PeerLost) {
			lost = err
		}
		if !result.Is(err, result.PeerUnreached) {
			asked++
		}
	}
	if lost != nil {
		return nil, ownerLostError(lost)
	}
	return nil, result.New(result.JobUnknown, "no node has job %q", operation.jobID)
}

// Cancel implements gateway.Jobs. It cancels the job at every member that may own it.
func (j *jobs) Cancel(ctx context.Context, tenant, jobID string) error {
	for i, member := range j.node.members.owners(tenant + "/" + jobID) {
		if i == maxOwnersAsked {
			break
		}
		_, err := j.call(ctx, member, jobOperation{kind: pathbendv1.JobCall_OPERATION_CANCEL, tenant: tenant, jobID: jobID})
		if err != nil && !shouldAskNext(err) {
			return err
		}
	}
	return nil
}

// AnnounceVersion implements gateway.Jobs. Announcing the current version again has no effect.
func (j *jobs) AnnounceVersion(_ context.Context, tenant, model string, version uint64) error {
	key := weights.ModelKey{Tenant: tenant, Model: model}
	if !j.node.members.raiseVersion(key, version) {
		if current := j.node.members.version(key); version < current {
			return result.New(result.VersionWentBack, "version %d is already announced", current).WithField("version")
		}
		return nil
	}
	j.node.logger.Log(event.VersionAnnounced, "tenant", tenant, "model", model, "version", version)
	j.node.members.gossipNow()
	return nil
}

// call sends an operation to a member, which may be this node, and returns the JSON answer.
func (j *jobs) call(ctx context.Context, member membership.Member, operation jobOperation) ([]byte, error) {
	content, err := json.Marshal(operation.body)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "encode job call")
	}
	call := &pathbendv1.JobCall{Operation: operation.kind, Tenant: operation.tenant, JobId: operation.jobID, Body: content}
	if member.ID == j.node.id {
		reply, err := j.handle(ctx, call)
		return reply.GetBody(), err
	}
	ctx, cancel := context.WithTimeout(ctx, operation.wait+jobCallMargin)
	defer cancel()
	reply, err := j.node.peers.Call(ctx, member.Address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_JobCall{JobCall: call}})
	if err != nil {
		return nil, err
	}
	return reply.GetJobReply().GetBody(), nil
}

// handle executes an operation on a job that this node owns or is to own.
func (j *jobs) handle(ctx context.Context, call *pathbendv1.JobCall) (*pathbendv1.JobReply, error) {
	switch call.Operation {
	case pathbendv1.JobCall_OPERATION_SUBMIT:
		return &pathbendv1.JobReply{}, j.submitLocal(call)
	case pathbendv1.JobCall_OPERATION_PULL:
		return j.pullLocal(ctx, call)
	case pathbendv1.JobCall_OPERATION_CANCEL:
		j.node.manager.Cancel(call.Tenant, call.JobId)
		return &pathbendv1.JobReply{}, nil
	case pathbendv1.JobCall_OPERATION_HANDOVER:
		return &pathbendv1.JobReply{}, j.acceptHandover(call)
	default:
		return nil, result.New(result.FrameMalformed, "unknown job operation %d", call.Operation)
	}
}

func (j *jobs) submitLocal(call *pathbendv1.JobCall) error {
	var spec rollout.Spec
	if err := json.Unmarshal(call.Body, &spec); err != nil {
		return result.Wrap(result.FrameMalformed, err, "decode job")
	}
	policy, err := j.policy(call.Tenant, spec.Model)
	if err != nil {
		return err
	}
	return j.node.manager.Submit(call.Tenant, spec, policy)
}

func (j *jobs) pullLocal(ctx context.Context, call *pathbendv1.JobCall) (*pathbendv1.JobReply, error) {
	var pull rollout.Pull
	if err := json.Unmarshal(call.Body, &pull); err != nil {
		return nil, result.Wrap(result.FrameMalformed, err, "decode pull")
	}
	model, ok := j.node.manager.Model(call.Tenant, call.JobId)
	if !ok {
		return nil, result.New(result.JobUnknown, "no job %q on this node", call.JobId)
	}
	policy, err := j.policy(call.Tenant, model)
	if err != nil {
		return nil, err
	}
	answer, err := j.node.manager.Pull(ctx, call.Tenant, call.JobId, pull, policy)
	if err != nil {
		return nil, err
	}
	content, err := json.Marshal(answer)
	return &pathbendv1.JobReply{Body: content}, err
}

func (j *jobs) acceptHandover(call *pathbendv1.JobCall) error {
	var handover rollout.Handover
	if err := json.Unmarshal(call.Body, &handover); err != nil {
		return result.Wrap(result.FrameMalformed, err, "decode handover")
	}
	policy, err := j.policy(handover.Tenant, handover.Spec.Model)
	if err != nil {
		return err
	}
	return j.node.manager.Accept(handover, policy)
}

// policy returns the rollout policy of a model by the current configuration.
func (j *jobs) policy(tenantName, modelName string) (rollout.Policy, error) {
	document, _ := j.node.Current()
	if document == nil {
		return rollout.Policy{}, result.New(result.NotReady, "no configuration yet")
	}
	tenant := document.FindTenant(tenantName)
	if tenant == nil {
		return rollout.Policy{}, result.New(result.UnknownTenant, "no tenant %q", tenantName)
	}
	model := tenant.FindModel(modelName)
	if model == nil {
		return rollout.Policy{}, result.New(result.UnknownModel, "tenant %q has no model %q", tenantName, modelName)
	}
	return rollout.NewPolicy(tenant.Spec.Capacity, model), nil
}

// handOver transfers every job of this node to the next member in rank. A job that no member
// accepts is logged as cancelled, and its trainer submits it again.
func (j *jobs) handOver() {
	for _, handover := range j.node.manager.BeginHandover() {
		_, err := j.callFirstAvailable(j.node.ctx, jobOperation{
			kind: pathbendv1.JobCall_OPERATION_HANDOVER, tenant: handover.Tenant, jobID: handover.Spec.JobID, body: handover,
		})
		if err != nil {
			j.node.logger.Log(event.JobCancelled, "tenant", handover.Tenant, "job", handover.Spec.JobID, "error", err.Error())
		}
	}
}
