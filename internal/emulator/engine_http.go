package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/pathbend/pathbend/internal/engine"
)

// crashingPromptTime is how long an engine runs a prompt before the prompt crashes it.
const crashingPromptTime = 20 * time.Millisecond

// Handler serves the engine protocol that docs/ENGINES.md specifies.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/completions", e.handleCompletions)
	router.POST("/v1/orders", e.handleOrder)
	router.GET("/v1/load", func(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(writer, e.Load())
	})
	router.GET("/v1/cache_events", e.handleCacheEvents)
	router.POST("/v1/kv/export", e.handleKVExport)
	router.POST("/v1/kv/import", e.handleKVImport)
	return router
}

func (e *Engine) handleCompletions(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var body engine.GenerateRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if e.Crasher.triggeredBy(body.Prompt, []byte(body.Prompt)) {
		e.Crasher.run(body.Prompt, crashingPromptTime)
		panic(http.ErrAbortHandler)
	}
	chunks, err := e.Generate(body, request.Context().Done())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	finished := false
	for {
		select {
		case chunk, open := <-chunks:
			if !open {
				if finished {
					_, _ = writer.Write([]byte("data: [DONE]\n\n"))
					return
				}
				panic(http.ErrAbortHandler) // The sequence ended without a finish reason.
			}
			finished = chunk.FinishReason != ""
			if writeChunk(writer, controller, chunk) != nil {
				return
			}
		case <-request.Context().Done():
			e.wakeUp()
			return
		}
	}
}

func writeChunk(writer http.ResponseWriter, controller *http.ResponseController, chunk engine.Chunk) error {
	encoded, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	line := append(append([]byte("data: "), encoded...), '\n', '\n')
	if _, err := writer.Write(line); err != nil {
		return err
	}
	return controller.Flush()
}

func (e *Engine) handleOrder(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var order engine.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	err := e.ApplyOrder(request.Context(), order)
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		http.Error(writer, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	default:
		writeJSON(writer, struct{}{})
	}
}

func (e *Engine) handleCacheEvents(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	from, err := strconv.ParseUint(request.URL.Query().Get("from"), 10, 63)
	if err != nil {
		http.Error(writer, "query parameter from must be a non-negative integer", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	writeJSON(writer, e.cache.eventsFrom(from))
}

// cachedPrefix is the body of KV cache exports and imports.
type cachedPrefix struct {
	Prefix uint64 `json:"prefix"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) handleKVExport(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var wanted cachedPrefix
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	wanted.Tokens = e.cache.tokens[wanted.Prefix]
	writeJSON(writer, wanted)
}

func (e *Engine) handleKVImport(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var state cachedPrefix
	if err := json.NewDecoder(request.Body).Decode(&state); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cache.lookupAndStore(state.Prefix, state.Tokens)
	writeJSON(writer, struct{}{})
}
