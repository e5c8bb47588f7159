// Package rollout runs a trainer's jobs: it keeps every slot of a job moving
// until the trainer holds a sample for it.
//
// Job is a pure state machine of one job. Its driver, Manager, starts the
// attempts that Job asks for, feeds back chunks and endings, and answers pulls.
// A slot may have several attempts at once; the first that finishes gives the
// slot's sample and the others are cancelled. Which samples may be handed over
// is decided at each pull by package delivery.
//
// Invariants:
//   - a slot that the trainer's cursor holds is never started or handed over;
//   - the segments of a sample repeat the versions of the chunks it consists
//     of, also after it was resumed elsewhere;
//   - tokens older than the bound allows are dropped before a slot is resumed.
package rollout
