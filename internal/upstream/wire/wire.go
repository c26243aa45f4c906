// Package wire defines what upstreams and the system say to each other: announcements,
// the headers on calls, and the engines' endpoints beside the usual chat completions.
//
// An upstream announces itself with POST PathAnnounce to the upstream listener of any VM,
// at least once a second, and again with Goodbye set when it departs. The body is an
// Announcement in JSON; the header HeaderSignature carries the lower-case hex HMAC-SHA256 of
// the body under the secret of its class.
//
// Engines serve:
//
//	POST   /v1/chat/completions          as existing clients send it, streamed or whole
//	GET    /v1/streams/{attempt}?from=N  resumes a stream from its N-th chunk (0 based)
//	DELETE /v1/streams/{attempt}         cancels a call
//	GET    /v1/sessions                  the SessionList that holds engine memory
//	DELETE /v1/sessions/{session}        releases a session's memory (200 also if unknown)
//	GET    /v1/sessions/{session}/kv     exports the KV cache (opaque bytes)
//	PUT    /v1/sessions/{session}/kv     imports it
//	GET    /v1/cache_events?from=SEQ     the CacheEvents since SEQ, late and with gaps
//	POST   /v1/orders                    an Order; 409 if the fencing number is old
//	GET    /healthz                      200 while alive
//
// A call carries HeaderAttempt; engines and services return the same header, and an engine's
// completion ID is "chatcmpl-" followed by the attempt. An answer with another attempt is late
// or crossed.
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
	// HeaderAttempt names one attempt of one call; it is the request ID that engines echo.
	HeaderAttempt = "X-Request-Id"
	// HeaderSession names the program whose prefix and memory the call belongs to.
	HeaderSession = "Egretramp-Session"
	// HeaderIdempotency is the same for all attempts of one call.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderFencing is the fencing number of an order.
	HeaderFencing = "Egretramp-Fencing"
	// CompletionIDPrefix stands before the attempt in an engine's completion ID.
	CompletionIDPrefix = "chatcmpl-"
)

// Announcement is what an upstream says about itself.
type Announcement struct {
	Upstream    string              `json:"upstream"`    // unique name
	Class       string              `json:"class"`       // UpstreamClass.ID in the operators' file
	Incarnation int64               `json:"incarnation"` // grows with each start; Unix nanoseconds do
	Sequence    uint64              `json:"sequence"`    // grows with each announcement
	SentAtMS    int64               `json:"sent_at_ms"`  // Unix milliseconds
	Zone        string              `json:"zone"`
	Kind        config.UpstreamKind `json:"kind"`
	Address     string              `json:"address"` // IP:port of its HTTP server
	Serves      []string            `json:"serves"`  // models or services, under any name
	// ServesAs maps canonical IDs to the names in Serves as the upstream sent them. The VM that
	// accepts an announcement sets it; what an upstream sends here is ignored.
	ServesAs map[string]string `json:"serves_as,omitempty"`
	Goodbye  bool              `json:"goodbye,omitempty"`
	// ChecksFencing says that orders with an old fencing number are refused.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// CanResume says that broken streams can be resumed.
	CanResume bool   `json:"can_resume,omitempty"`
	Limits    Limits `json:"limits"`
	Load      Load   `json:"load"`
}

// Limits are an upstream's own bounds.
type Limits struct {
	Slots    int   `json:"slots"`               // calls in one batch
	KVTokens int64 `json:"kv_tokens,omitempty"` // tokens of KV cache
	// Models is how many models, adapters and versions an engine holds at once; 0: not told.
	Models int `json:"models,omitempty"`
	// MemoryMB is an engine's memory for weights. Megabytes; 0: not told.
	MemoryMB int64 `json:"memory_mb,omitempty"`
}

// Load is what an upstream reports, with a lag.
type Load struct {
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	KVTokensUsed int64 `json:"kv_tokens_used,omitempty"`
}

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	Accepted bool   `json:"accepted"`
	Code     string `json:"code,omitempty"`
	// VMs are upstream listeners of other VMs, to announce to when this one is lost.
	VMs []string `json:"vms,omitempty"`
}

// SessionList is an engine's report of sessions that hold memory.
type SessionList struct {
	Sessions []Session `json:"sessions"`
}

// Session is one program's memory on an engine.
type Session struct {
	Session string `json:"session"`
	Tokens  int64  `json:"tokens"`
}

// CacheEvents is a page of an engine's cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a session's prefix came into the cache or left it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Session  string `json:"session"`
	Tokens   int64  `json:"tokens"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// OrderKind is what an engine is told to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderRole        OrderKind = "role"
)

// Order tells an engine to load or unload a model or to change its role.
type Order struct {
	// ID is the same however often the order is sent; an engine carries it out once.
	ID      string    `json:"id,omitempty"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fencing uint64    `json:"fencing"`
	// TimeoutMS is when the engine gives the order up. Milliseconds from its receipt; 0: never.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
}

// Sign returns the signature of an announcement's body.
func Sign(secret string, body []byte) string {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify reports whether signature is that of body under secret, in constant time.
func Verify(secret string, body []byte, signature string) bool {
	return hmac.Equal([]byte(Sign(secret, body)), []byte(signature))
}
