package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pathbend/pathbend/client"
)

// Scorer emulates the service that scores samples for trainers. The zero value
// scores without delay.
type Scorer struct {
	// ScoreTime is how long scoring one sample takes.
	ScoreTime time.Duration
}

// scoreAnswer is the answer of the scoring service.
type scoreAnswer struct {
	Slot  int     `json:"slot"`
	Score float64 `json:"score"`
}

// ServeHTTP implements http.Handler. It answers a sample with a score from 0 to 1.
func (s Scorer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var sample client.Sample
	if err := json.NewDecoder(request.Body).Decode(&sample); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.ScoreTime)
	// Longer samples score lower. Any pure function of the sample serves.
	writeJSON(writer, scoreAnswer{Slot: sample.Slot, Score: 1 / float64(1+len(sample.Tokens))})
}

// NewScoreFunc returns a function that sends a sample to the scoring service at an
// address and fails unless the answer is for the sample's slot.
func NewScoreFunc(address string) func(ctx context.Context, sample *client.Sample) error {
	return func(ctx context.Context, sample *client.Sample) error {
		content, err := json.Marshal(sample)
		if err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/score", bytes.NewReader(content))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("scoring service answered with status %s", response.Status)
		}
		var answer scoreAnswer
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			return err
		}
		if answer.Slot != sample.Slot {
			return fmt.Errorf("scoring service answered for slot %d instead of slot %d", answer.Slot, sample.Slot)
		}
		return nil
	}
}
