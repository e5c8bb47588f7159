package schedule

import (
	"fmt"
	"testing"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

// largeFleet returns a scheduler of a fleet whose samplers serve eight models each. Of these,
// one in sixteen serves a newer version of a given model; the others serve its first version.
func largeFleet(samplers int) (*Scheduler, []Sampler, time.Time) {
	now := time.Unix(100, 0)
	s := New(func() uint64 { return 1 })
	var listed []Sampler
	for i := range samplers {
		versions := make(map[string]uint64)
		for model := range 8 {
			versions[fmt.Sprint("m", model)] = 1
		}
		versions[fmt.Sprint("m", i%8)] += uint64(i / 8 % 2 * 4)
		listed = append(listed, Sampler{ID: fmt.Sprintf("i-%06d", i), Service: "llm", Slots: 6, Versions: versions})
	}
	for i := range samplers / 4 {
		listed = append(listed, Sampler{ID: fmt.Sprintf("a-%06d", i), Service: "api", Slots: 6})
	}
	s.SetSamplers(listed, now)
	return s, listed, now
}

func addLargeJob(s *Scheduler, number int, now time.Time) {
	spec := &pathbendv1.BatchJob{Model: fmt.Sprint("m", number%8), MinVersion: 5, Tenant: "t"}
	var items []*pathbendv1.BatchItem
	for i := range 128 {
		items = append(items, &pathbendv1.BatchItem{Id: fmt.Sprint(number, "-", i), Group: fmt.Sprint(number, "g", i/8), ExpectedTokens: 800})
		spec.ItemIds = append(spec.ItemIds, items[i].Id)
	}
	open := &ledger.Job{ID: fmt.Sprint("job", number), Spec: spec, ReceivedAt: now}
	s.AddJob(open, items, Policy{Services: []string{"llm"}, MaxFailures: 3, Due: now.Add(7 * time.Second)}, noStoredTexts{})
}

type noStoredTexts struct{}

func (noStoredTexts) Partial(string) (PartialText, bool)    { return PartialText{}, false }
func (noStoredTexts) Finished(string) (ledger.Result, bool) { return ledger.Result{}, false }

// BenchmarkStarts measures the start of a job's 128 items. With 8,000 samplers it takes 2.1 ms,
// against 35 ms if each selection searches all samplers for the few that serve a version.
func BenchmarkStarts(b *testing.B) {
	for _, samplers := range []int{1000, 8000} {
		b.Run(fmt.Sprint(samplers), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				s, _, now := largeFleet(samplers)
				addLargeJob(s, 1, now)
				b.StartTimer()
				if started := s.Starts(now); len(started) != 128 {
					b.Fatal(len(started))
				}
			}
		})
	}
}

// BenchmarkIdleStartsAndMoves measures calls of Starts and Moves that find nothing to do. With
// 8,000 samplers it takes 0.02 ms, against 1.05 ms if they count all free slots and sort all
// paces.
func BenchmarkIdleStartsAndMoves(b *testing.B) {
	for _, samplers := range []int{1000, 8000} {
		b.Run(fmt.Sprint(samplers), func(b *testing.B) {
			s, _, now := largeFleet(samplers)
			addLargeJob(s, 1, now)
			s.Starts(now)
			for b.Loop() {
				s.Starts(now)
				s.Moves(now)
			}
		})
	}
}

// BenchmarkSamplersWithOneChange measures a list of samplers with one changed entry. With 8,000
// samplers it takes 0.8 ms, against 25 ms if every entry is applied.
func BenchmarkSamplersWithOneChange(b *testing.B) {
	for _, samplers := range []int{1000, 8000} {
		b.Run(fmt.Sprint(samplers), func(b *testing.B) {
			s, listed, now := largeFleet(samplers)
			for i := range listed {
				listed[i].Revision = uint64(i + 1)
			}
			s.SetSamplers(listed, now)
			for b.Loop() {
				listed[0].Revision++
				s.SetSamplers(listed, now)
			}
		})
	}
}
