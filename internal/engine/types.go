package engine

// GenerateRequest requests a continuation of a prompt. Its fields have the names of the
// OpenAI-compatible completions API where that has them.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders requests on the engine; a larger value is served first.
	Priority int `json:"priority"`
	// Seed makes sampling reproducible.
	Seed uint64 `json:"seed"`
	// ResumeTokens are tokens that an earlier attempt generated; the stream
	// continues after them.
	ResumeTokens []string `json:"resume_tokens,omitempty"`
}

// Chunk is a range of consecutive tokens that one weight version generated.
type Chunk struct {
	RequestID string `json:"id"`
	Model     string `json:"model"`
	// FirstIndex is the position of the first token in the whole generation.
	FirstIndex int      `json:"token_index"`
	Tokens     []string `json:"tokens"`
	Version    uint64   `json:"weight_version"`
	// FinishReason is empty until the last chunk: "stop" or "length".
	FinishReason string `json:"finish_reason,omitempty"`
}

// LoadReport is the load report of an engine.
type LoadReport struct {
	EngineID string `json:"engine_id"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Capacity int    `json:"capacity"`
	// KVUsed and KVCapacity are the used and total size of the KV cache in tokens.
	KVUsed     int `json:"kv_used"`
	KVCapacity int `json:"kv_capacity"`
	// Leaving is set when the engine is about to shut down.
	Leaving bool `json:"leaving"`
	// Models are the models that the engine has loaded.
	Models []ModelState `json:"models"`
	// Fence is the highest fencing token the engine has accepted.
	Fence uint64 `json:"fence"`
}

// ModelState is the state of a model on an engine.
type ModelState struct {
	Model string `json:"model"`
	// Serving is the version that generates tokens; 0 if none.
	Serving uint64 `json:"serving"`
	// Prepared is the version that is loaded in addition, ready for a switch; 0 if none.
	Prepared uint64 `json:"prepared"`
	// Broken is set after a switch failed part-way: tokens may come from either
	// version until a switch succeeds.
	Broken   bool     `json:"broken"`
	Adapters []string `json:"adapters,omitempty"`
}

// Action is the action that an order requests.
type Action string

// Actions of an order.
const (
	ActionLoad        Action = "load"
	ActionSwitch      Action = "switch"
	ActionLoadAdapter Action = "load_adapter"
	ActionSetRole     Action = "set_role"
)

// Order requests a change of what an engine serves. The engine rejects an order whose
// fencing token is lower than one that it accepted before.
type Order struct {
	Fence   uint64 `json:"fence"`
	Action  Action `json:"action"`
	Model   string `json:"model"`
	Version uint64 `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Restart makes a switch abort running generations instead of continuing them
	// with the new weights.
	Restart bool `json:"restart,omitempty"`
}

// FinishAborted is the finish reason of a generation that the engine ended early, for
// example in a switch with Restart. The tokens generated before remain valid.
const FinishAborted = "abort"
