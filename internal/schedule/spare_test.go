package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func wanting(job testJob, groups uint32) testJob {
	job.open.Spec.WantedGroups = groups
	return job
}

func TestGroupsThatNobodyWaitsForBeginLast(t *testing.T) {
	b := newBench(t, sampler("s", 3, 1))
	b.addJob(wanting(b.jobOf("j", 1, "a:90", "b:9000", "c:80"), 2), policy(9*time.Second), kept{})
	b.addJob(b.jobOf("k", 1, "d:10"), policy(20*time.Second), kept{})
	require.Equal(t, []string{"j-0", "j-2", "k-0"}, itemsOf(b.starts()), "the long group of the first job is not owed")
	b.s.Samplers([]Sampler{sampler("s", 4, 1)}, b.now)
	require.Equal(t, []string{"j-1"}, itemsOf(b.starts()), "where there is room it begins")
}

func TestGroupsThatWereBegunOrCarriedAreNotLeft(t *testing.T) {
	b := newBench(t, sampler("s", 2, 1))
	begun := map[string]Partial{"j-1": {ID: 1, Events: 3, Text: []byte("x"), Versions: []uint64{1}}}
	b.addJob(wanting(b.jobOf("j", 1, "a:90", "b:9000", "c:80"), 2), policy(9*time.Second), kept{partial: begun})
	require.Equal(t, []string{"j-1", "j-2"}, itemsOf(b.starts()), "a, the longest that was not begun, is left")
}
