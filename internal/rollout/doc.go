// Package rollout runs the sampling jobs of trainers. It schedules every slot of a
// job until the trainer holds a sample for it.
//
// Job is a pure state machine of one job. Manager drives it: it starts the attempts
// that Job returns, reports their tokens and outcomes back, and answers pulls. A slot
// may have several attempts at once; the first that finishes provides the slot's
// sample and the others are cancelled. Package delivery decides at each pull which
// samples may be delivered.
//
// Invariants:
//   - a slot that the trainer's cursor contains is never started or delivered;
//   - the segments of a sample carry the weight versions of the chunks that it
//     consists of, also after it was resumed on another engine;
//   - tokens that exceed the freshness limit are dropped before a slot is resumed.
package rollout
