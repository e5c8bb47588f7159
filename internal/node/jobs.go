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
	// ownersAsked is how many members are asked for a job before it counts as
	// unknown. A job stays at its owner when a node joins that would be a
	// better one, so the owner may be the second or third choice.
	ownersAsked = 3
	// jobCallMargin is added to the wait of a pull.
	jobCallMargin = 2 * time.Second
	ownerHint     = 200 * time.Millisecond
)

// jobs finds the owner of a job and forwards trainers' operations to it. It
// implements gateway.Jobs.
type jobs struct {
	node *Node
}

type jobOperation struct {
	kind   pathbendv1.JobCall_Operation
	tenant string
	jobID  string
	body   any
	wait   time.Duration
}

// Submit implements gateway.Jobs.
func (j *jobs) Submit(ctx context.Context, tenant string, spec rollout.Spec) error {
	// A trainer that is at a version proves that the version exists. This
	// brings the register back after all nodes were replaced at once.
	j.node.members.raiseVersion(weights.ModelKey{Tenant: tenant, Model: spec.Model}, spec.TrainerVersion)
	_, err := j.firstOwner(ctx, jobOperation{
		kind: pathbendv1.JobCall_OPERATION_SUBMIT, tenant: tenant, jobID: spec.JobID, body: spec,
	})
	return err
}

// firstOwner gives an operation to the first member in rank that takes it.
func (j *jobs) firstOwner(ctx context.Context, operation jobOperation) ([]byte, error) {
	var lastErr error
	for i, member := range j.node.members.owners(operation.tenant + "/" + operation.jobID) {
		if i == ownersAsked || !member.Usable() {
			break
		}
		answer, err := j.call(ctx, member, operation)
		if err == nil || !passesOn(err) {
			return answer, err
		}
		lastErr = err
	}
	return nil, ownerLost(lastErr)
}

// passesOn reports whether the next member in rank should be asked.
func passesOn(err error) bool {
	return result.Is(err, result.PeerUnreached) || result.Is(err, result.PeerLost) || result.Is(err, result.Draining)
}

func ownerLost(cause error) error {
	if cause == nil {
		cause = errors.New("no live member")
	}
	return result.Wrap(result.JobOwnerLost, cause, "ask the job's owner").WithRetryAfter(ownerHint)
}

// Pull implements gateway.Jobs.
func (j *jobs) Pull(ctx context.Context, tenant, jobID string, pull rollout.Pull) (rollout.PullAnswer, error) {
	var answer rollout.PullAnswer
	content, err := j.anyOwner(ctx, jobOperation{
		kind: pathbendv1.JobCall_OPERATION_PULL, tenant: tenant, jobID: jobID, body: pull,
		wait: time.Duration(pull.WaitMS) * time.Millisecond,
	})
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(content, &answer)
}

// anyOwner asks members in rank until one knows the job. If those that answer
// do not, it is unknown: the trainer submits it again, which is harmless should
// an owner that cannot be reached still run it.
func (j *jobs) anyOwner(ctx context.Context, operation jobOperation) ([]byte, error) {
	var lost error
	asked := 0
	for _, member := range j.node.members.owners(operation.tenant + "/" + operation.jobID) {
		if asked == ownersAsked {
			break
		}
		content, err := j.call(ctx, member, operation)
		if err == nil || !passesOn(err) && !result.Is(err, result.JobUnknown) {
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
		return nil, ownerLost(lost)
	}
	return nil, result.New(result.JobUnknown, "no node holds job %q", operation.jobID)
}

// Cancel implements gateway.Jobs.
func (j *jobs) Cancel(ctx context.Context, tenant, jobID string) error {
	for i, member := range j.node.members.owners(tenant + "/" + jobID) {
		if i == ownersAsked {
			break
		}
		_, err := j.call(ctx, member, jobOperation{kind: pathbendv1.JobCall_OPERATION_CANCEL, tenant: tenant, jobID: jobID})
		if err != nil && !passesOn(err) {
			return err
		}
	}
	return nil
}

// Announce implements gateway.Jobs.
func (j *jobs) Announce(_ context.Context, tenant, model string, version uint64) error {
	key := weights.ModelKey{Tenant: tenant, Model: model}
	if !j.node.members.raiseVersion(key, version) {
		if current := j.node.members.version(key); version < current {
			return result.New(result.VersionWentBack, "version %d was announced already", current).WithField("version")
		}
		return nil
	}
	j.node.logger.Log(event.VersionAnnounced, "tenant", tenant, "model", model, "version", version)
	j.node.members.spread()
	return nil
}

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

// handle carries out an operation on a job that this node owns or will own.
func (j *jobs) handle(ctx context.Context, call *pathbendv1.JobCall) (*pathbendv1.JobReply, error) {
	switch call.Operation {
	case pathbendv1.JobCall_OPERATION_SUBMIT:
		return &pathbendv1.JobReply{}, j.submitHere(call)
	case pathbendv1.JobCall_OPERATION_PULL:
		return j.pullHere(ctx, call)
	case pathbendv1.JobCall_OPERATION_CANCEL:
		j.node.manager.Cancel(call.Tenant, call.JobId)
		return &pathbendv1.JobReply{}, nil
	case pathbendv1.JobCall_OPERATION_HANDOVER:
		return &pathbendv1.JobReply{}, j.acceptHere(call)
	default:
		return nil, result.New(result.FrameMalformed, "unknown job operation %d", call.Operation)
	}
}

func (j *jobs) submitHere(call *pathbendv1.JobCall) error {
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

func (j *jobs) pullHere(ctx context.Context, call *pathbendv1.JobCall) (*pathbendv1.JobReply, error) {
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

func (j *jobs) acceptHere(call *pathbendv1.JobCall) error {
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
	return rollout.PolicyOf(tenant.Spec.Capacity, model), nil
}

// handOver gives every job of this node to the next in rank. A job that nobody
// takes is submitted again by its trainer.
func (j *jobs) handOver() {
	for _, handover := range j.node.manager.BeginHandover() {
		_, err := j.firstOwner(j.node.ctx, jobOperation{
			kind: pathbendv1.JobCall_OPERATION_HANDOVER, tenant: handover.Tenant, jobID: handover.Spec.JobID, body: handover,
		})
		if err != nil {
			j.node.logger.Log(event.JobCancelled, "tenant", handover.Tenant, "job", handover.Spec.JobID, "error", err.Error())
		}
	}
}
