package engine

// GenerateRequest asks for a continuation of a prompt. Field names follow the
// common completions interface where it has them.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders work at the engine; larger is more urgent.
	Priority int `json:"priority"`
	// Seed makes sampling repeatable.
	Seed uint64 `json:"seed"`
	// ResumeTokens are the tokens generated so far elsewhere; the stream
	// continues after them.
	ResumeTokens []string `json:"resume_tokens,omitempty"`
}

// Chunk is a run of tokens made by one weight version.
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

// Load is an engine's report of itself.
type Load struct {
	EngineID string `json:"engine_id"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Capacity int    `json:"capacity"`
	// KVUsed and KVCapacity count cached tokens.
	KVUsed     int  `json:"kv_used"`
	KVCapacity int  `json:"kv_capacity"`
	Leaving    bool `json:"leaving"`
	// Models are the models the engine holds.
	Models []ModelState `json:"models"`
	// Fence is the highest fencing token the engine has accepted.
	Fence uint64 `json:"fence"`
}

// ModelState is what an engine holds of a model.
type ModelState struct {
	Model string `json:"model"`
	// Serving is the version that generates; 0 if none.
	Serving uint64 `json:"serving"`
	// Prepared is the version loaded beside it; 0 if none.
	Prepared uint64 `json:"prepared"`
	// Broken is set if a switch failed half-way: tokens may come from either
	// version until a switch succeeds.
	Broken   bool     `json:"broken"`
	Adapters []string `json:"adapters,omitempty"`
}

// Action is the kind of an order.
type Action string

// Actions of orders.
const (
	ActionLoad        Action = "load"
	ActionSwitch      Action = "switch"
	ActionLoadAdapter Action = "load_adapter"
	ActionSetRole     Action = "set_role"
)

// Order tells an engine to change what it serves. The engine refuses an order
// whose fence is lower than one it accepted before.
type Order struct {
	Fence   uint64 `json:"fence"`
	Action  Action `json:"action"`
	Model   string `json:"model"`
	Version uint64 `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// Restart makes a switch drop running generations instead of going on with
	// the new weights.
	Restart bool `json:"restart,omitempty"`
}

// FinishAborted is the finish reason of a generation that the engine ended
// early, as for a switch with Restart. Its tokens so far stay true.
const FinishAborted = "abort"
