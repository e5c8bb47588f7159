package platformsim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// rebornAfter is how long a sampler is away that starts again under its id.
const rebornAfter = 300 * time.Millisecond

// rebirth ends a sampler and starts it again under its id, at the same address, while the
// entry of its former incarnation comes once more and late.
func (w *World) rebirth(fault Fault, machine *samplerMachine) {
	if !w.claim(machine) {
		return
	}
	defer w.unclaim(machine)
	former := machine.sampler
	w.takeDown(machine)
	_ = machine.server.Close()
	w.network.Crash(machine.host)
	time.Sleep(rebornAfter)
	w.network.Restore(machine.host)
	w.startSamplerAs(machine, former.ID)
	w.Truth.Count("samplers reborn")
	time.Sleep(rebornAfter)
	former.register()
	time.Sleep(fault.For)
}

// foreignEntries are values that no sampler writes, with addresses at which nothing listens.
func foreignEntries(good platform.SamplerDocument) [][]byte {
	encoded, err := json.Marshal(good)
	if err != nil {
		panic(err)
	}
	values := [][]byte{encoded[:len(encoded)/2], []byte("\xff\x00\x01"), []byte("null"), []byte("[]"), []byte("{}")}
	for field, value := range map[string]any{
		"service": 7, "address": []string{"nowhere:1"}, "zone": nil, "slots": "six", "state": "resting", "seq": -1,
		"born": 1.5, "coldLeftMs": "0", "version": nil, "models": "none",
	} {
		var fields map[string]any
		if err := json.Unmarshal(encoded, &fields); err != nil {
			panic(err)
		}
		fields["address"] = "nowhere:1"
		fields[field] = value
		changed, err := json.Marshal(fields)
		if err != nil {
			panic(err)
		}
		values = append(values, changed)
	}
	return values
}

// writeForeign lets another writer put entries beside those of the samplers, records that
// end within their keys, and one in the place of a sampler's, whose sampler lives on unlisted
// and gets nothing new.
func (w *World) writeForeign(fault Fault, machine *samplerMachine) {
	if !w.claim(machine) {
		return
	}
	defer w.unclaim(machine)
	w.takeDown(machine)
	sampler := machine.sampler
	values := foreignEntries(sampler.snapshotDocument())
	for i, value := range values {
		w.Store.Put(platform.TopicSamplers, fmt.Sprintf("foreign-%d-%d", fault.Target, i), value)
	}
	w.Store.PutRaw(platform.TopicSamplers, []byte{200, 'x'})
	w.Store.PutRaw(platform.TopicSamplers, nil)
	w.Store.Put(platform.TopicSamplers, sampler.ID, values[int(fault.Target)%len(values)])
	w.Truth.Gone(sampler.ID)
	w.Truth.Count("foreign entries")
	time.Sleep(fault.For)
	_ = machine.server.Close()
	w.startSampler(machine)
}
