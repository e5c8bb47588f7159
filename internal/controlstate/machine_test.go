package controlstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
)

func encode(t require.TestingT, id string, record *pathbendv1.Record) []byte {
	record.Id = id
	data, err := proto.Marshal(record)
	require.NoError(t, err)
	return data
}

func publish(base uint64, author string) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_ConfigPublish{ConfigPublish: &pathbendv1.ConfigPublish{
		BaseRevision: base, Document: []byte("tenants: []\n"), Author: author,
	}}}
}

func claim(replaces uint64, holder string) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_LeaseClaim{LeaseClaim: &pathbendv1.LeaseClaim{
		Name: "weights/m", Holder: holder, Replaces: replaces,
	}}}
}

func joined(id string) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_NodeJoined{NodeJoined: &pathbendv1.NodeJoined{NodeId: id, Zone: id[:1]}}}
}

func left(id string) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_NodeLeft{NodeLeft: &pathbendv1.NodeLeft{NodeId: id}}}
}

// suspect returns a record that a back end crashed under a request.
func suspect(backEnd string, epoch uint64, second int64) *pathbendv1.Record {
	digest := quarantine.Content{Path: "/crash"}.Digest()
	return &pathbendv1.Record{Body: &pathbendv1.Record_Suspect{Suspect: &pathbendv1.SuspectRequest{
		Digest: digest[:], Epoch: epoch, Ended: []string{backEnd}, ChangedUnixMs: second * 1000,
	}}}
}

func TestSuspectRequestsAreMergedAndMalformedOnesRejected(t *testing.T) {
	machine := NewMachine()
	for offset, backEnd := range []string{"a", "b", "a"} {
		outcome := machine.Apply(logstore.Entry{Offset: uint64(offset), Data: encode(t, fmt.Sprint(offset), suspect(backEnd, 0, 1))})
		require.NoError(t, outcome.Err)
		require.Equal(t, offset < 2, outcome.Changed == PartSuspects, "a repeated record changes nothing")
	}
	require.Equal(t, []string{"a", "b"}, machine.Suspects().All()[0].CrashedBackEnds)
	malformed := suspect("c", 0, 1)
	malformed.GetSuspect().Digest = nil
	require.Error(t, machine.Apply(logstore.Entry{Offset: 3, Data: encode(t, "m", malformed)}).Err)
	require.Len(t, machine.Suspects().All()[0].CrashedBackEnds, 2)
}

func TestConflictingPublishNamesTheWinner(t *testing.T) {
	machine := NewMachine()
	require.NoError(t, machine.Apply(logstore.Entry{Offset: 0, Data: encode(t, "a", publish(0, "awa"))}).Err)
	outcome := machine.Apply(logstore.Entry{Offset: 1, Data: encode(t, "b", publish(0, "ben"))})
	require.True(t, result.Is(outcome.Err, result.ConfigConflict))
	require.ErrorContains(t, outcome.Err, "awa")
	require.Equal(t, uint64(1), machine.Revision().Number)
	repeated := machine.Apply(logstore.Entry{Offset: 2, Data: encode(t, "a", publish(0, "awa"))})
	require.True(t, repeated.Duplicate)
}

func TestInvalidDocumentKeepsThePreviousRevision(t *testing.T) {
	machine := NewMachine()
	record := publish(0, "awa")
	record.GetConfigPublish().Document = []byte("tenants: [{name: A B}]")
	outcome := machine.Apply(logstore.Entry{Data: encode(t, "a", record)})
	require.True(t, result.Is(outcome.Err, result.ConfigInvalid))
	require.Zero(t, machine.Revision().Number)
}

func TestFencingTokensOnlyIncrease(t *testing.T) {
	machine := NewMachine()
	apply := func(offset uint64, record *pathbendv1.Record) Outcome {
		return machine.Apply(logstore.Entry{Offset: offset, Data: encode(t, fmt.Sprint(offset), record)})
	}
	require.NoError(t, apply(0, claim(0, "n1")).Err)
	require.Error(t, apply(1, claim(0, "n2")).Err, "the second of two conflicting claims is rejected")
	require.NoError(t, apply(2, claim(1, "n2")).Err)
	require.Equal(t, uint64(3), machine.Leases().Get("weights/m").Token)
}

func TestGapIsRejectedAndOverlapSkipped(t *testing.T) {
	machine := NewMachine()
	require.Error(t, machine.Apply(logstore.Entry{Offset: 1, Data: encode(t, "x", joined("a"))}).Err)
	require.NoError(t, machine.Apply(logstore.Entry{Offset: 0, Data: encode(t, "x", joined("a"))}).Err)
	require.True(t, machine.Apply(logstore.Entry{Offset: 0, Data: encode(t, "y", left("a"))}).Duplicate)
}

// TestSnapshotEqualsReplay applies random records, restores a second machine from
// a snapshot at a random point, and applies the remaining records to both.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "records")
		snapshotAt := rapid.IntRange(0, count).Draw(t, "snapshot at")
		full, restored := NewMachine(), NewMachine()
		for offset := range count {
			if offset == snapshotAt {
				encoded, err := proto.Marshal(full.Snapshot())
				require.NoError(t, err)
				snapshot := &pathbendv1.Snapshot{}
				require.NoError(t, proto.Unmarshal(encoded, snapshot))
				require.NoError(t, restored.Restore(snapshot))
			}
			entry := logstore.Entry{Offset: uint64(offset), Data: drawRecord(t, full)}
			before := full.Revision().Number
			outcome := full.Apply(entry)
			require.GreaterOrEqual(t, full.Revision().Number, before)
			if offset >= snapshotAt {
				require.Equal(t, outcome.Changed, restored.Apply(entry).Changed)
			}
		}
		if snapshotAt < count {
			want, got := full.Snapshot(), restored.Snapshot()
			require.True(t, proto.Equal(want, got), "want %v, got %v", want, got)
		}
	})
}

func drawRecord(t *rapid.T, machine *Machine) []byte {
	id := rapid.StringMatching(`[a-d][0-9]`).Draw(t, "id")
	node := rapid.SampledFrom([]string{"a1", "b1", "c1", "d1"}).Draw(t, "node")
	stale := uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return encode(t, id, publish(machine.Revision().Number-min(stale, machine.Revision().Number), node))
	case 1:
		return encode(t, id, joined(node))
	case 2:
		return encode(t, id, left(node))
	case 3:
		return encode(t, id, claim(machine.Leases().Get("weights/m").Token, node))
	case 4:
		return encode(t, id, suspect(node, uint64(rapid.IntRange(0, 2).Draw(t, "epoch")), int64(rapid.IntRange(0, 10_000).Draw(t, "second"))))
	default:
		return []byte("garbage")
	}
}

func FuzzApply(f *testing.F) {
	f.Add(encode(f, "a", publish(0, "awa")))
	f.Add(encode(f, "b", joined("a")))
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := NewMachine()
		machine.Apply(logstore.Entry{Data: data})
		require.Equal(t, uint64(1), machine.Next())
		require.NoError(t, NewMachine().Restore(machine.Snapshot()))
	})
}
