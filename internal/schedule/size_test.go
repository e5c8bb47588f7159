package schedule

import (
	"fmt"
	"testing"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/ledger"
)

// largeFleet is a scheduler of a fleet whose samplers serve eight models each, of which one
// in sixteen follows the versions of a model; the others have the first.
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
	s.Samplers(listed, now)
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
	s.AddJob(open, items, Policy{Services: []string{"llm"}, MaxFailures: 3, Due: now.Add(7 * time.Second)}, noKept{})
}

type noKept struct{}

func (noKept) Partial(string) (Partial, bool)        { return Partial{}, false }
func (noKept) Finished(string) (ledger.Result, bool) { return ledger.Result{}, false }

// BenchmarkStarts is what the starts of a job's 128 items cost an executor: 35 ms at 8,000
// samplers when each choice looked for the few that serve a version among all, 2.1 ms now.
// BenchmarkIdleLook is what a look costs that finds nothing to start: 1.05 ms when it counted
// all free slots and sorted all paces, 0.02 ms now.
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

func BenchmarkIdleLook(b *testing.B) {
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

// BenchmarkRelist is what one changed entry costs: 25 ms at 8,000 samplers when each entry was
// taken in anew, 0.8 ms now.
func BenchmarkRelist(b *testing.B) {
	for _, samplers := range []int{1000, 8000} {
		b.Run(fmt.Sprint(samplers), func(b *testing.B) {
			s, listed, now := largeFleet(samplers)
			for i := range listed {
				listed[i].Revision = uint64(i + 1)
			}
			s.Samplers(listed, now)
			for b.Loop() {
				listed[0].Revision++
				s.Samplers(listed, now)
			}
		})
	}
}
