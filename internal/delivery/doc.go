// Package delivery decides what a trainer may receive.
//
// A sample consists of segments, each a token range with the weight version
// that the engine named on the stream. Its age is judged at the hand-over, by
// its oldest segment, against the version that the trainer states in its pull.
// The answer says until when and up to which trainer version the sample may be
// used, so that an answer that travels too long is discarded by the client.
//
// Exactly-once needs no write per sample: a sample is bound to a slot of a job
// when it is started and only ever answers that slot, and the trainer's cursor
// says which slots it holds. Any number of repeated pulls, owners and attempts
// then ends with one sample per slot at the trainer.
package delivery
