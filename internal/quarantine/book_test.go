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

// held returns a book in which a digest has as many ends as are allowed, the last at start.
func held(t *testing.T) *Book {
	t.Helper()
	book := &Book{}
	for i := range Ends {
		_, news := book.NoteEnded(digest, fmt.Sprint("back-end-", i), start)
		require.True(t, news)
	}
	return book
}

func standing(book *Book, policy Policy, at time.Time) Standing {
	found, _ := book.Standing(digest, policy, at)
	return found
}

func TestThirdEndHoldsARequest(t *testing.T) {
	book := &Book{}
	require.True(t, book.Empty())
	for ends, want := range []Standing{Free, Free, Suspect, Held} {
		require.Equal(t, want, standing(book, Requests(), start), "%d ends", ends)
		book.NoteEnded(digest, fmt.Sprint("back-end-", ends), start)
		// Another node noticed the same end.
		_, news := book.NoteEnded(digest, fmt.Sprint("back-end-", ends), start.Add(time.Second))
		require.False(t, news)
	}
	found, _ := book.Standing(Content{Path: "/other"}.Digest(), Requests(), start)
	require.Equal(t, Free, found)
}

// A pool of two back ends that keep their ids over a restart ended for ever.
func TestBackEndThatWasStartedAgainEndsOnceMore(t *testing.T) {
	book := &Book{}
	for i := range Ends {
		_, news := book.NoteEnded(digest, "the-one", start.Add(time.Duration(i)*(sameEnd+time.Millisecond)))
		require.True(t, news, "end %d", i)
	}
	require.Equal(t, Held, standing(book, Requests(), start.Add(10*time.Second)))
}

func TestSurvivorClearsARequestForGood(t *testing.T) {
	book := held(t)
	before := book.All()[0]
	cleared, ok := book.NoteServed(digest, start.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, Free, standing(book, Requests(), start.Add(time.Second)))
	require.False(t, book.Merge(before, start.Add(2*time.Second)), "what was told before says nothing any more")
	require.Equal(t, Free, standing(book, Requests(), start.Add(2*time.Second)))
	other := held(t)
	require.True(t, other.Merge(cleared, start.Add(time.Second)))
	require.Equal(t, Free, standing(other, Requests(), start.Add(time.Second)))
	_, ok = book.NoteServed(digest, start)
	require.False(t, ok, "nothing is left to clear")
}

// The users allow three sends after the third end and the time to hear of it.
func TestTrialsAreFewAndFarApart(t *testing.T) {
	for name, policy := range map[string]Policy{"requests": Requests(), "items": Items()} {
		t.Run(name, func(t *testing.T) {
			const contact, day = 3 * time.Second, 55 * time.Minute
			book, late := held(t), 0
			for at := start; at.Before(start.Add(day)); at = at.Add(100 * time.Millisecond) {
				if standing(book, policy, at) != OnTrial {
					continue
				}
				claimed, ok := book.Claim(digest, policy, uint64(at.Unix()), at)
				require.True(t, ok)
				require.True(t, book.Merge(claimed, at))
				require.Equal(t, Held, standing(book, policy, at))
				book.NoteEnded(digest, "trial at "+at.String(), at)
				if at.Sub(start) > contact {
					late++
				}
			}
			require.Equal(t, 2, late)
		})
	}
}

// Reward calls ran beside a request that took four back ends with it in half a second, on
// three of them.
func TestWhatRanBesideTheCauseIsNotHeld(t *testing.T) {
	book := held(t)
	beside := Content{Path: "/beside"}.Digest()
	for _, record := range book.All() {
		record.Digest = beside
		book.Merge(record, start)
	}
	other, _ := book.Standing(beside, Requests(), start)
	require.Equal(t, Held, other, "nothing tells it from the cause yet")
	book.NoteEnded(digest, "a fourth", start)
	other, _ = book.Standing(beside, Requests(), start)
	require.Equal(t, Free, other)
	require.Equal(t, Held, standing(book, Requests(), start))
	require.Len(t, book.Held(Requests()), 1)
	for i := range Ends {
		book.NoteEnded(beside, fmt.Sprint("of its own ", i), start)
	}
	other, _ = book.Standing(beside, Requests(), start)
	require.Equal(t, Held, other, "it has ends of its own")
}

func TestFirstClaimInTheLogHasTheTrial(t *testing.T) {
	one, other := held(t), held(t)
	at := start.Add(time.Minute)
	first, ok := one.Claim(digest, Requests(), 1, at)
	require.True(t, ok)
	second, ok := other.Claim(digest, Requests(), 2, at)
	require.True(t, ok)
	for _, book := range []*Book{one, other} {
		require.True(t, book.Merge(first, at))
		require.False(t, book.Merge(second, at))
		require.True(t, book.Claims(digest, 1))
		require.False(t, book.Claims(digest, 2))
		_, ok = book.Claim(digest, Requests(), 3, at.Add(time.Second))
		require.False(t, ok, "the trial is under way")
	}
}

func TestWhatIsHeldOutlastsWhatIsNot(t *testing.T) {
	book := held(t)
	other := Content{Path: "/other"}.Digest()
	book.NoteEnded(other, "back-end", start)
	book.Expire(start.Add(forgetAfter))
	require.Len(t, book.All(), 2)
	book.Expire(start.Add(forgetAfter + time.Second))
	require.Len(t, book.All(), 1)
	require.Equal(t, digest, book.Held(Requests())[0].Digest)
	book.Expire(start.Add(forgetHeldAfter + time.Second))
	require.True(t, book.Empty())
}

func TestNumberOfRecordsIsBounded(t *testing.T) {
	book := held(t)
	for i := range mostRecords + 10 {
		book.NoteEnded(Content{Path: fmt.Sprint(i)}.Digest(), "back-end", start.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, book.All(), mostRecords)
	require.Equal(t, Held, standing(book, Requests(), start), "what is held goes last")
}

func TestRecordOfAFastClockHoldsNothingLonger(t *testing.T) {
	book := &Book{}
	told := held(t).All()[0]
	told.ChangedAt = start.Add(time.Hour)
	require.True(t, book.Merge(told, start))
	_, until := book.Standing(digest, Requests(), start)
	require.Equal(t, start.Add(Requests().Pauses[0]), until)
}

func TestRecordsKeepOverTheWire(t *testing.T) {
	book := held(t)
	claimed, ok := book.Claim(digest, Requests(), 7, start.Add(time.Minute))
	require.True(t, ok)
	decoded, err := Decode(Encode(claimed, true))
	require.NoError(t, err)
	require.True(t, claimed.ChangedAt.Equal(decoded.ChangedAt))
	decoded.ChangedAt = claimed.ChangedAt
	require.Equal(t, claimed, decoded)
	malformed := Encode(claimed, false)
	malformed.Digest = malformed.Digest[1:]
	_, err = Decode(malformed)
	require.Error(t, err)
}

// Records may come in any order, late and again: all nodes come to hold the same ends.
func TestOrderAndRepetitionOfRecordsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer := &Book{}
		var told []Record
		for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
			at := start.Add(time.Duration(i) * time.Second)
			if rapid.IntRange(0, 3).Draw(t, "served") == 0 {
				if record, ok := writer.NoteServed(digest, at); ok {
					told = append(told, record)
				}
				continue
			}
			record, _ := writer.NoteEnded(digest, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "back end")), at)
			told = append(told, record)
		}
		late := start.Add(time.Hour)
		order := rapid.Permutation(append(slices.Clone(told), told...)).Draw(t, "order")
		one, other := &Book{}, &Book{}
		for _, record := range told {
			one.Merge(record, late)
		}
		for _, record := range order {
			other.Merge(record, late)
		}
		require.Equal(t, len(one.All()), len(other.All()))
		for i, record := range one.All() {
			require.Equal(t, record.Epoch, other.All()[i].Epoch)
			require.Equal(t, record.Ended, other.All()[i].Ended)
			require.Equal(t, writer.All()[i].Ended, record.Ended)
		}
	})
}
