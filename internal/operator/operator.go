// Package operator reads and publishes configuration on the platform's log on
// behalf of an operator at a command line.
//
// It folds the control stream just as nodes do, so that the outcome of a publish
// is known from the log itself: also when the answer to the append was lost.
package operator

import (
	"context"
	"time"

	"github.com/google/uuid"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/control"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/state"
)

// Log is the platform's log.
type Log interface {
	logstore.Reader
	logstore.Appender
}

// readLimit is the number of records read at once.
const readLimit = 1000

// Load folds the control stream up to its end.
func Load(ctx context.Context, log logstore.Reader) (*state.Machine, error) {
	machine := state.NewMachine()
	_, err := foldTo(ctx, log, machine, 0)
	return machine, err
}

// foldTo applies records until the end of the stream, or until an offset below
// through was applied. It returns the outcome of the last record before
// through.
func foldTo(ctx context.Context, log logstore.Reader, machine *state.Machine, through uint64) (state.Outcome, error) {
	source := control.LogSource{Reader: log}
	var last state.Outcome
	for {
		update, err := source.Fetch(ctx, machine.Next(), readLimit, 0)
		if err != nil {
			return last, err
		}
		if update.Snapshot != nil {
			if err := machine.Restore(update.Snapshot); err != nil {
				return last, err
			}
		}
		for _, entry := range update.Batch.Entries {
			outcome := machine.Apply(entry)
			if entry.Offset+1 == through {
				return outcome, nil
			}
			last = outcome
		}
		if machine.Next() >= update.Batch.End {
			return last, nil
		}
	}
}

// Publication is a configuration to publish.
type Publication struct {
	Document *config.Document
	// Base is the revision that the document was made from.
	Base    uint64
	Author  string
	Message string
}

// Conflict tells who won a race and what the winner changed.
type Conflict struct {
	Winner  state.Revision
	Changes []config.Change
	cause   error
}

// Error implements error.
func (c *Conflict) Error() string { return c.cause.Error() }

// Unwrap returns the numbered error.
func (c *Conflict) Unwrap() error { return c.cause }

// Publish appends a configuration and waits for the verdict of the log. The
// error is a *Conflict if another publish came first. Repeating a publish whose
// answer was lost is part of it: the record keeps its id.
func Publish(ctx context.Context, log Log, publication Publication) (state.Revision, error) {
	machine, err := Load(ctx, log)
	if err != nil {
		return state.Revision{}, err
	}
	if err := checkBase(machine, publication); err != nil {
		return state.Revision{}, err
	}
	content, err := config.Encode(publication.Document)
	if err != nil {
		return state.Revision{}, result.Wrap(result.ConfigInvalid, err, "encode configuration")
	}
	offset, err := logstore.AppendRecord(ctx, log, &pathbendv1.Record{
		Id: uuid.NewString(),
		Body: &pathbendv1.Record_ConfigPublish{ConfigPublish: &pathbendv1.ConfigPublish{
			BaseRevision: publication.Base, Document: content, Author: publication.Author,
			Message: publication.Message, PublishedUnixMs: time.Now().UnixMilli(),
		}},
	})
	if err != nil {
		return state.Revision{}, err
	}
	before := machine.Revision()
	outcome, err := foldTo(ctx, log, machine, offset+1)
	if err != nil {
		return state.Revision{}, err
	}
	// A duplicate is an earlier append of this same record, which decided.
	accepted := outcome.Changed == state.PartConfig || outcome.Duplicate && isOurs(machine.Revision(), publication)
	if accepted {
		return machine.Revision(), nil
	}
	return state.Revision{}, conflictOf(outcome.Err, before, machine.Revision())
}

func isOurs(revision state.Revision, publication Publication) bool {
	return revision.Number == publication.Base+1 && revision.Author == publication.Author && revision.Message == publication.Message
}

// checkBase refuses a publish that would lose, before it is appended.
func checkBase(machine *state.Machine, publication Publication) error {
	current := machine.Revision()
	if current.Number == publication.Base {
		return nil
	}
	cause := result.New(result.ConfigConflict, "revision %d by %s (%q) is in force, this change was made from revision %d",
		current.Number, current.Author, current.Message, publication.Base)
	return &Conflict{Winner: current, Changes: config.Diff(publication.Document, current.Document), cause: cause}
}

func conflictOf(cause error, before, winner state.Revision) error {
	if cause == nil {
		cause = result.New(result.ConfigConflict, "revision %d by %s came first", winner.Number, winner.Author)
	}
	return &Conflict{Winner: winner, Changes: config.Diff(before.Document, winner.Document), cause: cause}
}
