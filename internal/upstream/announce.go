package upstream

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"egretramp/internal/clock"
	"egretramp/internal/config"
	"egretramp/internal/events"
	"egretramp/internal/upstream/wire"

	"go.uber.org/zap"
)

// Limits for announcements, which come from an untrusted network.
const (
	maxAnnouncementBytes = 16 << 10
	maxServed            = 64
	maxNameBytes         = 128
	maxSlots             = 65_536
	maxKVTokens          = 1 << 40
	maxCalls             = 1 << 20 // running or waiting at one upstream
	// maxClockSkew is the maximum difference between an announcement's send time and this VM's
	// clock. It prevents later replay of a recorded announcement.
	maxClockSkew = 30 * time.Second
	// maxIncarnationAhead is how far an incarnation (Unix nanoseconds) may be ahead of this VM's
	// clock: after a far larger one, all later starts of the upstream would be rejected as older.
	maxIncarnationAhead = 24 * time.Hour
)

// Classes looks up upstream classes, models and services in the active configuration.
type Classes interface {
	Class(id string) (*config.UpstreamClass, bool)
	Model(name string) (*config.Model, bool)
	Service(name string) (*config.Service, bool)
}

// AnnounceHandler serves PathAnnounce: it verifies announcements and passes valid ones to Accept.
type AnnounceHandler struct {
	// Classes returns the active configuration, or nil before there is one.
	Classes func() Classes
	// Accept receives a verified announcement whose Serves are canonical IDs. It returns false if
	// no VM is available to dispatch for it.
	Accept func(wire.Announcement) bool
	// VMs returns the upstream listeners of other VMs, for the reply.
	VMs    func() []string
	Events *events.Logger
	Clock  func() time.Duration // default clock.Now

	once    sync.Once
	limiter *announceLimiter
}

// Codes of rejected announcements.
const (
	codeNoConfiguration = "no_configuration"
	codeBadAnnouncement = "bad_announcement"
	codeBadSignature    = "bad_signature"
	codeNotAllowed      = "not_allowed"
	codeTooMany         = "too_many"
	codeNoDispatcher    = "no_dispatcher"
)

func (h *AnnounceHandler) setDefaults() {
	h.limiter = newAnnounceLimiter()
	if h.Clock == nil {
		h.Clock = clock.Now
	}
}

// ServeHTTP handles one announcement.
func (h *AnnounceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(h.setDefaults)
	sender, _, _ := net.SplitHostPort(r.RemoteAddr)
	if !h.limiter.allowSender(h.Clock(), sender) {
		h.reject(w, r, http.StatusTooManyRequests, codeTooMany)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		h.reject(w, r, http.StatusRequestEntityTooLarge, codeBadAnnouncement)
		return
	}
	classes := h.Classes()
	if classes == nil {
		h.reply(w, http.StatusServiceUnavailable, codeNoConfiguration)
		return
	}
	a, status, code := verifyAnnouncement(classes, body, r.Header.Get(wire.HeaderSignature), time.Now())
	if code == "" && !h.limiter.allowUpstream(h.Clock(), a.Class, a.Upstream) {
		status, code = http.StatusTooManyRequests, codeTooMany
	}
	if code == "" && !h.Accept(a) {
		status, code = http.StatusServiceUnavailable, codeNoDispatcher
	}
	if code != "" {
		h.reject(w, r, status, code)
		return
	}
	h.reply(w, http.StatusOK, "")
}

// reject replies with a code and logs the rejection, at most rejectionLogRate times a second for
// each code.
func (h *AnnounceHandler) reject(w http.ResponseWriter, r *http.Request, status int, code string) {
	if h.limiter.allowLog(h.Clock(), code) {
		event := events.AnnouncementRefused
		if code == codeTooMany {
			event = events.AnnouncementsFlooding
		}
		h.Events.Emit(event, zap.String("code", code), zap.String("remote", r.RemoteAddr))
	}
	h.reply(w, status, code)
}

func (h *AnnounceHandler) reply(w http.ResponseWriter, status int, code string) {
	reply := wire.AnnounceReply{Accepted: code == "", Code: code, VMs: h.VMs()}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

// verifyAnnouncement verifies an announcement and returns it with canonical names, or a status and
// code. The signature is checked before any other field of the body is trusted.
func verifyAnnouncement(classes Classes, body []byte, signature string, now time.Time) (wire.Announcement, int, string) {
	var a wire.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return a, http.StatusBadRequest, codeBadAnnouncement
	}
	class, ok := classes.Class(a.Class)
	if !ok || !wire.Verify(class.Secret, body, signature) {
		return a, http.StatusForbidden, codeBadSignature
	}
	if !valid(a, now) {
		return a, http.StatusBadRequest, codeBadAnnouncement
	}
	if a.Kind != class.Kind || !allowedZone(class, a.Zone) {
		return a, http.StatusForbidden, codeNotAllowed
	}
	served, ok := canonicalIDs(classes, class, a.Serves)
	if !ok {
		return a, http.StatusForbidden, codeNotAllowed
	}
	a.ServesAs = make(map[string]string, len(served))
	names := a.Serves
	a.Serves = a.Serves[:0:0]
	for i, id := range served {
		if _, duplicate := a.ServesAs[id]; !duplicate {
			a.ServesAs[id] = names[i]
			a.Serves = append(a.Serves, id)
		}
	}
	return a, http.StatusOK, ""
}

func valid(a wire.Announcement, now time.Time) bool {
	return validIdentity(a, now) && validAddress(a.Address) && len(a.Serves) <= maxServed &&
		inRange(a.Limits.Slots, maxSlots) && inRange(a.Limits.KVTokens, maxKVTokens) &&
		inRange(a.Load.Running, maxCalls) && inRange(a.Load.Waiting, maxCalls) && inRange(a.Load.KVTokensUsed, maxKVTokens)
}

func validIdentity(a wire.Announcement, now time.Time) bool {
	skew := now.Sub(time.UnixMilli(a.SentAtMS)).Abs()
	newest := now.Add(maxIncarnationAhead).UnixNano()
	return validName(a.Upstream) && validName(a.Zone) &&
		skew <= maxClockSkew && a.Incarnation > 0 && a.Incarnation <= newest
}

// validName accepts printable ASCII without spaces; '/' separates names in keys.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// validAddress accepts the IP address and port of one host. Host names are rejected: whoever
// controls their resolution could redirect an upstream's calls.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func inRange[N int | int64](n, limit N) bool { return n >= 0 && n <= limit }

func allowedZone(class *config.UpstreamClass, zone string) bool {
	return len(class.Zones) == 0 || contains(class.Zones, zone)
}

// canonicalIDs maps the served names to canonical IDs; false if one is unknown or not allowed for
// the class.
func canonicalIDs(classes Classes, class *config.UpstreamClass, names []string) ([]string, bool) {
	allowed := make([]string, 0, len(class.Serves))
	for _, name := range class.Serves {
		if id, ok := canonicalID(classes, class.Kind, name); ok {
			allowed = append(allowed, id)
		}
	}
	ids := make([]string, 0, len(names))
	for _, name := range names {
		id, ok := canonicalID(classes, class.Kind, name)
		if !ok || len(class.Serves) > 0 && !contains(allowed, id) {
			return nil, false
		}
		ids = append(ids, id)
	}
	return ids, true
}

func canonicalID(classes Classes, kind config.UpstreamKind, name string) (string, bool) {
	if kind == config.KindService {
		s, ok := classes.Service(name)
		if !ok {
			return "", false
		}
		return s.ID, true
	}
	m, ok := classes.Model(name)
	if !ok {
		return "", false
	}
	return m.ID, true
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
