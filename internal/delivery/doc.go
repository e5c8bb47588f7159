// Package delivery decides which samples a trainer may receive.
//
// A sample consists of segments, each a token range with the weight version that
// the engine named on the stream. Freshness is checked at delivery: the sample's
// oldest version against the version that the trainer states in its pull, and the
// time since its oldest token was requested against the maximum age. The answer
// states until when and up to which trainer version the sample may be used, so that
// the client discards a sample whose answer was delayed for too long.
//
// Exactly-once delivery needs no write per sample: a sample is bound to a slot of a
// job when its generation starts and is only ever delivered for that slot, and the
// trainer's cursor states which slots it holds. However often pulls, job owners and
// attempts are repeated, the trainer ends up with one sample per slot.
package delivery
