package platformsim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// restartDelay is the time between the stop of a sampler and its restart under the same id.
const restartDelay = 300 * time.Millisecond

// restartWithSameID stops a sampler and restarts it with the same id and address. After the
// restart, the previous incarnation writes its outdated entry once more.
func (w *World) restartWithSameID(fault Fault, machine *samplerMachine) {
	if !w.reserve(machine) {
		return
	}
	defer w.release(machine)
	previous := machine.sampler
	w.markDown(machine)
	_ = machine.server.Close()
	w.environment.Crash(machine.host)
	time.Sleep(restartDelay)
	w.environment.Restore(machine.host)
	w.startSamplerAs(machine, previous.ID)
	w.Checker.Count("samplers restarted")
	time.Sleep(restartDelay)
	previous.register()
	time.Sleep(fault.For)
}

// invalidEntries returns values that no sampler writes: malformed and empty documents, and entries
// in which one field has an invalid value and the address has no listener.
func invalidEntries(valid platform.SamplerDocument) [][]byte {
	encoded, err := json.Marshal(valid)
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

// writeForeignEntries writes to the samplers' topic as another writer: invalid entries under new
// keys, records that are truncated within their key, and an invalid entry under a sampler's key.
// That sampler keeps running but is no longer listed, and must get no new requests.
func (w *World) writeForeignEntries(fault Fault, machine *samplerMachine) {
	if !w.reserve(machine) {
		return
	}
	defer w.release(machine)
	w.markDown(machine)
	sampler := machine.sampler
	values := invalidEntries(sampler.registryEntry())
	// A weight load that completes later would otherwise write the sampler's own entry again.
	sampler.mutex.Lock()
	sampler.removed = true
	sampler.mutex.Unlock()
	for i, value := range values {
		w.Store.Put(platform.TopicSamplers, fmt.Sprintf("foreign-%d-%d", fault.Target, i), value)
	}
	w.Store.PutRaw(platform.TopicSamplers, []byte{200, 'x'})
	w.Store.PutRaw(platform.TopicSamplers, nil)
	w.Store.Put(platform.TopicSamplers, sampler.ID, values[int(fault.Target)%len(values)])
	w.Checker.RecordSamplerGone(sampler.ID)
	w.Checker.Count("foreign entries")
	time.Sleep(fault.For)
	_ = machine.server.Close()
	w.startSampler(machine)
}
