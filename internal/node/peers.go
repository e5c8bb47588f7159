package node

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/control"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/result"
)

// HandlePeer implements peer.Handler.
func (n *Node) HandlePeer(ctx context.Context, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error) {
	switch body := call.Body.(type) {
	case *pathbendv1.Envelope_Heartbeat:
		reply := n.members.handle(body.Heartbeat)
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_Heartbeat{Heartbeat: reply}}, nil
	case *pathbendv1.Envelope_ReadRecords:
		return n.handleRead(ctx, body.ReadRecords)
	case *pathbendv1.Envelope_ListMachines:
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_MachineList{MachineList: n.handleList(body.ListMachines)}}, nil
	case *pathbendv1.Envelope_ClaimKey:
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_KeyGrant{KeyGrant: n.replicas.handleClaim(body.ClaimKey)}}, nil
	case *pathbendv1.Envelope_SyncShards:
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ShardEntries{ShardEntries: n.replicas.handleSync(body.SyncShards)}}, nil
	case *pathbendv1.Envelope_FetchAnswer:
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_StoredAnswer{StoredAnswer: n.handleFetch(ctx, body.FetchAnswer)}}, nil
	case *pathbendv1.Envelope_ShareRate:
		share, err := n.quotas.handle(body.ShareRate)
		if err != nil {
			return nil, err
		}
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_RateShare{RateShare: share}}, nil
	case *pathbendv1.Envelope_JobCall:
		reply, err := n.jobs.handle(ctx, body.JobCall)
		if err != nil {
			return nil, err
		}
		return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_JobReply{JobReply: reply}}, nil
	default:
		return nil, result.New(result.FrameMalformed, "a call without a known body")
	}
}

func (n *Node) handleRead(ctx context.Context, call *pathbendv1.ReadRecords) (*pathbendv1.Envelope, error) {
	if call.Stream != logstore.ControlStream {
		return nil, result.New(result.FrameMalformed, "this node follows no stream %q", call.Stream).WithField("stream")
	}
	wait := min(time.Duration(call.WaitMs)*time.Millisecond, maxPeerWait)
	update, err := n.follower.Serve(ctx, call.From, int(call.Max), wait)
	if err != nil {
		return nil, err
	}
	batch, err := control.EncodeUpdate(update)
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_RecordBatch{RecordBatch: batch}}, nil
}

// maxPeerWait bounds how long a peer's read may wait here.
const maxPeerWait = 30 * time.Second

func (n *Node) handleList(call *pathbendv1.ListMachines) *pathbendv1.MachineList {
	machines, at := n.machines.get()
	list := &pathbendv1.MachineList{AgeMs: time.Since(at).Milliseconds()}
	if !at.IsZero() && call.GetKnown() == n.machines.currentDigest() {
		list.Unchanged = true
		return list
	}
	for _, machine := range machines {
		list.Machines = append(list.Machines, &pathbendv1.Machine{
			Id: machine.ID, Role: string(machine.Role), Pool: machine.Pool, Address: machine.Address,
			Zone: machine.Zone, Leaving: machine.Leaving,
		})
	}
	return list
}
