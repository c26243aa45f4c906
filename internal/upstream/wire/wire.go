// Package wire defines the protocol between upstreams and the system: announcements, the headers
// of calls, and the engines' endpoints in addition to chat completions.
//
// An upstream announces itself with POST PathAnnounce to the upstream listener of any VM,
// at least once a second, and once more with Goodbye set when it shuts down. The body is an
// Announcement in JSON; the header HeaderSignature carries the lower-case hex HMAC-SHA256 of
// the body under the secret of its class.
//
// Engines serve:
//
//	POST   /v1/chat/completions          as existing clients send it, streamed or not
//	GET    /v1/streams/{attempt}?from=N  resumes a stream from its N-th chunk (0 based)
//	DELETE /v1/streams/{attempt}         cancels a call
//	GET    /v1/sessions                  the SessionList of sessions that hold engine memory
//	DELETE /v1/sessions/{session}        releases a session's memory (200 even if unknown)
//	GET    /v1/sessions/{session}/kv     exports the KV cache (opaque bytes)
//	PUT    /v1/sessions/{session}/kv     imports it
//	GET    /v1/cache_events?from=SEQ     the CacheEvents since SEQ; may be late and incomplete
//	POST   /v1/orders                    an Order; 409 if the fencing number is outdated
//	GET    /healthz                      200 while alive
//
// A call carries HeaderAttempt; engines and services return the same header, and an engine's
// completion ID is "chatcmpl-" followed by the attempt. A response with another attempt is late or
// was delivered to the wrong call.
package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"egretramp/internal/config"
)

// Paths and headers.
const (
	PathAnnounce    = "/v1/announce"
	HeaderSignature = "Egretramp-Signature"
	// HeaderAttempt identifies one attempt of a call; engines echo it as the request ID.
	HeaderAttempt = "X-Request-Id"
	// HeaderSession identifies the program whose prompt prefix and engine memory the call uses.
	HeaderSession = "Egretramp-Session"
	// HeaderIdempotency is the same for all attempts of one call.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderFencing is the fencing number of an order.
	HeaderFencing = "Egretramp-Fencing"
	// CompletionIDPrefix precedes the attempt in an engine's completion ID.
	CompletionIDPrefix = "chatcmpl-"
)

// Announcement describes an upstream: its identity, address, capabilities, limits and load.
type Announcement struct {
	Upstream    string              `json:"upstream"`    // unique name
	Class       string              `json:"class"`       // UpstreamClass.ID in the operators' file
	Incarnation int64               `json:"incarnation"` // increases with each start, for example Unix nanoseconds
	Sequence    uint64              `json:"sequence"`    // increases with each announcement
	SentAtMS    int64               `json:"sent_at_ms"`  // Unix milliseconds
	Zone        string              `json:"zone"`
	Kind        config.UpstreamKind `json:"kind"`
	Address     string              `json:"address"` // IP:port of its HTTP server
	Serves      []string            `json:"serves"`  // models or services, by any of their names
	// ServesAs maps canonical IDs to the names in Serves as the upstream sent them. The VM that
	// accepts an announcement sets it; what an upstream sends here is ignored.
	ServesAs map[string]string `json:"serves_as,omitempty"`
	Goodbye  bool              `json:"goodbye,omitempty"`
	// ChecksFencing is set if the upstream rejects orders with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// CanResume is set if broken streams can be resumed.
	CanResume bool   `json:"can_resume,omitempty"`
	Limits    Limits `json:"limits"`
	Load      Load   `json:"load"`
}

// Limits are the capacity limits that an upstream announces.
type Limits struct {
	Slots    int   `json:"slots"`               // calls in one batch
	KVTokens int64 `json:"kv_tokens,omitempty"` // tokens of KV cache
	// Models is how many models, adapters and versions an engine can hold at once; 0 if unknown.
	Models int `json:"models,omitempty"`
	// MemoryMB is an engine's memory for weights in megabytes; 0 if unknown.
	MemoryMB int64 `json:"memory_mb,omitempty"`
}

// Load is an upstream's current load as it reports it, which lags behind the actual load.
type Load struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	KVTokensUsed int64 `json:"kv_tokens_used,omitempty"`
}

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	Accepted bool   `json:"accepted"`
	Code     string `json:"code,omitempty"`
	// VMs are the upstream listeners of other VMs, to announce to if this one is unreachable.
	VMs []string `json:"vms,omitempty"`
}

// SessionList lists the sessions that hold memory on an engine.
type SessionList struct {
	Sessions []Session `json:"sessions"`
}

// Session is the memory that one program holds on an engine.
type Session struct {
	Session string `json:"session"`
	Tokens  int64  `json:"tokens"`
}

// CacheEvents is a page of an engine's cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that a session's prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Session  string `json:"session"`
	Tokens   int64  `json:"tokens"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// OrderKind is the action that an Order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderRole        OrderKind = "role"
)

// Order tells an engine to load or unload a model or to change its role.
type Order struct {
	// ID is the same each time the order is sent; an engine carries out an ID only once.
	ID      string    `json:"id,omitempty"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fencing uint64    `json:"fencing"`
	// TimeoutMS is how long after receipt the engine gives up the order, in milliseconds; 0 means
	// never.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
}

// Sign returns the signature of an announcement's body.
func Sign(secret string, body []byte) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports whether signature is the signature of body under secret. It compares in constant
// time.
func Verify(secret string, body []byte, signature string) bool {
	return hmac.Equal([]byte(Sign(secret, body)), []byte(signature))
}
