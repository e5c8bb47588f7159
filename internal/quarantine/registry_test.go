package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1_000_000, 0)
	digest = Content{Path: "/crash"}.Digest()
)

// quarantinedRegistry returns a registry in which a digest has just reached the crash limit,
// with the last crash at start.
func quarantinedRegistry(t *testing.T) *Registry {
	t.Helper()
	registry := &Registry{}
	for i := range CrashLimit {
		_, changed := registry.AddCrash(digest, fmt.Sprint("back-end-", i), start)
		require.True(t, changed)
	}
	return registry
}

func status(registry *Registry, policy Policy, at time.Time) Status {
	status, _ := registry.Status(digest, policy, at)
	return status
}

func TestRequestIsQuarantinedAtTheCrashLimit(t *testing.T) {
	registry := &Registry{}
	require.True(t, registry.Empty())
	for crashes, want := range []Status{Allowed, Allowed, Suspect, Quarantined} {
		require.Equal(t, want, status(registry, RequestPolicy(), start), "%d crashes", crashes)
		registry.AddCrash(digest, fmt.Sprint("back-end-", crashes), start)
		// A second node reports the same crash.
		_, changed := registry.AddCrash(digest, fmt.Sprint("back-end-", crashes), start.Add(time.Second))
		require.False(t, changed)
	}
	status, _ := registry.Status(Content{Path: "/other"}.Digest(), RequestPolicy(), start)
	require.Equal(t, Allowed, status)
}

// Guards against back ends that keep their ids over a restart: if only one crash were
// counted per id, a pool of two such back ends would be crashed forever.
func TestRestartedBackEndCountsAsAnotherCrash(t *testing.T) {
	registry := &Registry{}
	for i := range CrashLimit {
		_, changed := registry.AddCrash(digest, "only-back-end", start.Add(time.Duration(i)*(sameCrashWindow+time.Millisecond)))
		require.True(t, changed, "crash %d", i)
	}
	require.Equal(t, Quarantined, status(registry, RequestPolicy(), start.Add(10*time.Second)))
}

func TestSuccessClearsARequestAgainstOlderRecords(t *testing.T) {
	registry := quarantinedRegistry(t)
	before := registry.All()[0]
	clearedRecord, ok := registry.Clear(digest, start.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, Allowed, status(registry, RequestPolicy(), start.Add(time.Second)))
	require.False(t, registry.Merge(before, start.Add(2*time.Second)), "records of the epoch before are ignored")
	require.Equal(t, Allowed, status(registry, RequestPolicy(), start.Add(2*time.Second)))
	other := quarantinedRegistry(t)
	require.True(t, other.Merge(clearedRecord, start.Add(time.Second)))
	require.Equal(t, Allowed, status(other, RequestPolicy(), start.Add(time.Second)))
	_, ok = registry.Clear(digest, start)
	require.False(t, ok, "there is nothing left to clear")
}

// Three sends are allowed after the third crash, once all nodes have had time to learn of
// it. Two of them are trials.
func TestTrialsAreLimitedInNumberAndRate(t *testing.T) {
	const propagation, period = 3 * time.Second, 55 * time.Minute
	policy, registry, lateTrials := RequestPolicy(), quarantinedRegistry(t), 0
	for at := start; at.Before(start.Add(period)); at = at.Add(100 * time.Millisecond) {
		if status(registry, policy, at) != TrialDue {
			continue
		}
		claim, ok := registry.ClaimTrial(digest, policy, uint64(at.Unix()), at)
		require.True(t, ok)
		require.True(t, registry.Merge(claim, at))
		require.Equal(t, Quarantined, status(registry, policy, at))
		registry.AddCrash(digest, "back-end-of-trial-at-"+at.String(), at)
		if at.Sub(start) > propagation {
			lateTrials++
		}
	}
	require.Equal(t, 2, lateTrials)
}

// A request crashed four back ends within half a second, and reward calls were running on
// three of them. They must not be quarantined.
func TestRequestRunningBesideTheCauseIsNotQuarantined(t *testing.T) {
	registry := quarantinedRegistry(t)
	bystander := Content{Path: "/beside"}.Digest()
	for _, record := range registry.All() {
		record.Digest = bystander
		registry.Merge(record, start)
	}
	other, _ := registry.Status(bystander, RequestPolicy(), start)
	require.Equal(t, Quarantined, other, "it has as many crashes as the cause")
	registry.AddCrash(digest, "fourth-back-end", start)
	other, _ = registry.Status(bystander, RequestPolicy(), start)
	require.Equal(t, Allowed, other)
	require.Equal(t, Quarantined, status(registry, RequestPolicy(), start))
	require.Len(t, registry.Quarantined(RequestPolicy()), 1)
	for i := range CrashLimit {
		registry.AddCrash(bystander, fmt.Sprint("own-crash-", i), start)
	}
	other, _ = registry.Status(bystander, RequestPolicy(), start)
	require.Equal(t, Quarantined, other, "it has crashes of its own")
}

func TestFirstClaimInTheLogOwnsTheTrial(t *testing.T) {
	one, other := quarantinedRegistry(t), quarantinedRegistry(t)
	at := start.Add(time.Minute)
	first, ok := one.ClaimTrial(digest, RequestPolicy(), 1, at)
	require.True(t, ok)
	second, ok := other.ClaimTrial(digest, RequestPolicy(), 2, at)
	require.True(t, ok)
	for _, registry := range []*Registry{one, other} {
		require.True(t, registry.Merge(first, at))
		require.False(t, registry.Merge(second, at))
		require.True(t, registry.OwnsTrial(digest, 1))
		require.False(t, registry.OwnsTrial(digest, 2))
		_, ok = registry.ClaimTrial(digest, RequestPolicy(), 3, at.Add(time.Second))
		require.False(t, ok, "the trial is in progress")
	}
}

func TestQuarantinedRecordsExpireLaterThanOthers(t *testing.T) {
	registry := quarantinedRegistry(t)
	other := Content{Path: "/other"}.Digest()
	registry.AddCrash(other, "back-end", start)
	registry.Expire(start.Add(recordTTL))
	require.Len(t, registry.All(), 2)
	registry.Expire(start.Add(recordTTL + time.Second))
	require.Len(t, registry.All(), 1)
	require.Equal(t, digest, registry.Quarantined(RequestPolicy())[0].Digest)
	registry.Expire(start.Add(quarantinedRecordTTL + time.Second))
	require.True(t, registry.Empty())
}

func TestNumberOfRecordsIsBounded(t *testing.T) {
	registry := quarantinedRegistry(t)
	for i := range maxRecords + 10 {
		registry.AddCrash(Content{Path: fmt.Sprint(i)}.Digest(), "back-end", start.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, registry.All(), maxRecords)
	require.Equal(t, Quarantined, status(registry, RequestPolicy(), start), "quarantined records are evicted last")
}

func TestRecordFromAFastClockDoesNotProlongTheQuarantine(t *testing.T) {
	registry := &Registry{}
	published := quarantinedRegistry(t).All()[0]
	published.ChangedAt = start.Add(time.Hour)
	require.True(t, registry.Merge(published, start))
	_, until := registry.Status(digest, RequestPolicy(), start)
	require.Equal(t, start.Add(RequestPolicy().TrialDelays[0]), until)
}

func TestRecordsSurviveEncoding(t *testing.T) {
	registry := quarantinedRegistry(t)
	claim, ok := registry.ClaimTrial(digest, RequestPolicy(), 7, start.Add(time.Minute))
	require.True(t, ok)
	decoded, err := Decode(Encode(claim))
	require.NoError(t, err)
	require.True(t, claim.ChangedAt.Equal(decoded.ChangedAt))
	decoded.ChangedAt = claim.ChangedAt
	require.Equal(t, claim, decoded)
	malformed := Encode(claim)
	malformed.Digest = malformed.Digest[1:]
	_, err = Decode(malformed)
	require.Error(t, err)
}

// Records may arrive late, repeatedly and in any order: all nodes end up with the same
// crashes.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer := &Registry{}
		var published []Record
		for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
			at := start.Add(time.Duration(i) * time.Second)
			if rapid.IntRange(0, 3).Draw(t, "success") == 0 {
				if record, ok := writer.Clear(digest, at); ok {
					published = append(published, record)
				}
				continue
			}
			record, _ := writer.AddCrash(digest, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "back end")), at)
			published = append(published, record)
		}
		now := start.Add(time.Hour)
		order := rapid.Permutation(append(slices.Clone(published), published...)).Draw(t, "order")
		one, other := &Registry{}, &Registry{}
		for _, record := range published {
			one.Merge(record, now)
		}
		for _, record := range order {
			other.Merge(record, now)
		}
		require.Equal(t, len(one.All()), len(other.All()))
		for i, record := range one.All() {
			require.Equal(t, record.Epoch, other.All()[i].Epoch)
			require.Equal(t, record.CrashedBackEnds, other.All()[i].CrashedBackEnds)
			require.Equal(t, writer.All()[i].CrashedBackEnds, record.CrashedBackEnds)
		}
	})
}
