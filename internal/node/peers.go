package node

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/controlstream"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/result"
)

// HandlePeer implements peer.Handler. It passes a call to the component that answers it.
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
		return nil, result.New(result.FrameMalformed, "call with a missing or unknown body")
	}
}

// handleRead answers a peer's read of the control stream.
func (n *Node) handleRead(ctx context.Context, call *pathbendv1.ReadRecords) (*pathbendv1.Envelope, error) {
	if call.Stream != logstore.ControlStream {
		return nil, result.New(result.FrameMalformed, "this node does not serve stream %q", call.Stream).WithField("stream")
	}
	wait := min(time.Duration(call.WaitMs)*time.Millisecond, maxPeerWait)
	update, err := n.follower.Serve(ctx, call.From, int(call.Max), wait)
	if err != nil {
		return nil, err
	}
	batch, err := controlstream.EncodeUpdate(update)
	if err != nil {
		return nil, err
	}
	return &pathbendv1.Envelope{Body: &pathbendv1.Envelope_RecordBatch{RecordBatch: batch}}, nil
}

// maxPeerWait is the longest time that a peer's read waits for new records.
const maxPeerWait = 30 * time.Second

// handleList returns the cached machine list to a peer, without its machines if the peer has
// the same list.
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
