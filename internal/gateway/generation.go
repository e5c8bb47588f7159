package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/pathbend/pathbend/internal/admission"
	"github.com/pathbend/pathbend/internal/config"
	"github.com/pathbend/pathbend/internal/delivery"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/engine"
	"github.com/pathbend/pathbend/internal/result"
)

// completionRequest is the body of a completion request. Its fields have the names of
// the OpenAI completions API where that has them.
type completionRequest struct {
	// Model is optional; if set, it must equal the model of the path.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Seed      uint64 `json:"seed"`
}

// completionChoice is one choice of an answer or of one chunk of a stream.
type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// completionAnswer is a whole answer or one chunk of a stream.
type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	// Segments states the weight version of every token range.
	Segments []delivery.Segment `json:"segments"`
	Usage    *completionUsage   `json:"usage,omitempty"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const (
	completionObject = "text_completion"
	defaultMaxTokens = 256
	// completionDeadline is the time from its arrival after which a generation is no
	// longer admitted.
	completionDeadline = 10 * time.Minute
)

func (g *Gateway) handleCompletion(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	startedAt := time.Now()
	tenant, model, err := g.model(parameters)
	if err != nil {
		g.writeError(writer, err)
		return
	}
	var code result.Code
	if err := g.serveCompletion(writer, request, tenant, model); err != nil {
		code = result.From(err).Code
		g.writeError(writer, err)
	}
	g.services.Recorder.Record(tenant.Name, model.Name, code, time.Since(startedAt))
}

func (g *Gateway) serveCompletion(writer http.ResponseWriter, request *http.Request, tenant *config.Tenant, model *config.Model) error {
	var body completionRequest
	if err := decodeJSON(writer, request, maxJSONBytes, &body); err != nil {
		return err
	}
	if err := body.validate(model); err != nil {
		return err
	}
	priority, err := parsePriority(request.Header, "high")
	if err != nil {
		return err
	}
	release, err := g.services.Admission.Acquire(request.Context(), tenant.Name, priority, time.Now().Add(completionDeadline))
	if err != nil {
		return err
	}
	defer release()
	completion := Completion{
		Tenant: tenant.Name, Model: model, RequestID: g.services.NewID(), Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Seed: body.Seed, Priority: priority,
	}
	if body.Stream {
		return g.streamCompletion(writer, request, completion)
	}
	return g.bufferedCompletion(writer, request, completion)
}

func (b *completionRequest) validate(model *config.Model) error {
	if b.MaxTokens == 0 {
		b.MaxTokens = min(defaultMaxTokens, model.MaxTokens)
	}
	switch {
	case b.Model != "" && b.Model != model.Name:
		return result.New(result.MalformedRequest, "is %q but the path names %q", b.Model, model.Name).WithField("model")
	case b.Prompt == "":
		return result.New(result.MalformedRequest, "must not be empty").WithField("prompt")
	case b.MaxTokens < 1 || b.MaxTokens > model.MaxTokens:
		return result.New(result.MalformedRequest, "must be from 1 to %d", model.MaxTokens).WithField("max_tokens")
	}
	return nil
}

func (g *Gateway) bufferedCompletion(writer http.ResponseWriter, request *http.Request, completion Completion) error {
	var text strings.Builder
	var segments []delivery.Segment
	tokens, reason := 0, ""
	err := g.services.Completer.Complete(request.Context(), completion, func(chunk engine.Chunk) error {
		text.WriteString(strings.Join(chunk.Tokens, ""))
		segments = delivery.AppendTokens(segments, len(chunk.Tokens), chunk.Version)
		tokens += len(chunk.Tokens)
		reason = chunk.FinishReason
		return nil
	})
	if err != nil {
		return err
	}
	g.writeJSON(writer, completionAnswer{
		ID: completion.RequestID, Object: completionObject, Model: completion.Model.Name,
		Choices:  []completionChoice{{Text: text.String(), FinishReason: reason}},
		Segments: segments, Usage: &completionUsage{CompletionTokens: tokens},
	})
	return nil
}

// streamCompletion forwards chunks as server-sent events. After the first one is
// written, a failure can only be reported by aborting the connection.
func (g *Gateway) streamCompletion(writer http.ResponseWriter, request *http.Request, completion Completion) error {
	controller := http.NewResponseController(writer)
	started := false
	err := g.services.Completer.Complete(request.Context(), completion, func(chunk engine.Chunk) error {
		if !started {
			started = true
			g.startStream(writer)
		}
		event := completionAnswer{
			ID: completion.RequestID, Object: completionObject, Model: completion.Model.Name,
			Choices:  []completionChoice{{Text: strings.Join(chunk.Tokens, ""), FinishReason: chunk.FinishReason}},
			Segments: []delivery.Segment{{From: chunk.FirstIndex, To: chunk.FirstIndex + len(chunk.Tokens), Version: chunk.Version}},
		}
		return writeEvent(writer, controller, event)
	})
	if err != nil && !started {
		return err
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write([]byte("data: [DONE]\n\n"))
	return nil
}

func (g *Gateway) startStream(writer http.ResponseWriter) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderNode, g.services.NodeID)
	header.Set(dispatch.HeaderRun, string(result.Done))
	writer.WriteHeader(http.StatusOK)
}

func writeEvent(writer http.ResponseWriter, controller *http.ResponseController, event completionAnswer) error {
	encoded, err := json.Marshal(event)
	if err != nil {
		return err
	}
	line := append(append([]byte("data: "), encoded...), '\n', '\n')
	if _, err := writer.Write(line); err != nil {
		return err
	}
	return controller.Flush()
}

// EnginePriority converts a priority to the engine's scale. Callers' requests rank
// above rollout attempts, whose priority rises with the age of their slot.
func EnginePriority(priority admission.Priority) int { return 100 + 10*int(priority) }
