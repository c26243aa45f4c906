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

// Bounds on announcements. They come from an untrusted network.
const (
	maxAnnouncementBytes = 16 << 10
	maxServed            = 64
	maxNameBytes         = 128
	maxSlots             = 65_536
	maxKVTokens          = 1 << 40
	maxCalls             = 1 << 20 // running or waiting at one upstream
	// maxClockSkew is how far an announcement's time may be from this VM's, so that a recorded
	// announcement cannot be played back later.
	maxClockSkew = 30 * time.Second
	// maxIncarnationLead is how far an incarnation may lie ahead of the time in nanoseconds: an
	// absurd one would shut out all later starts of the upstream.
	maxIncarnationLead = 24 * time.Hour
)

// Classes finds the classes of upstreams in the configuration in force.
type Classes interface {
	Class(id string) (*config.UpstreamClass, bool)
	Model(name string) (*config.Model, bool)
	Service(name string) (*config.Service, bool)
}

// Intake serves PathAnnounce: it checks announcements and hands on those that prove themselves.
type Intake struct {
	// Classes returns the configuration in force, or nil before there is one.
	Classes func() Classes
	// Accept takes an announcement whose Serves are canonical IDs; false if no VM is there to
	// dispatch for it.
	Accept func(wire.Announcement) bool
	// VMs returns upstream listeners of other VMs, for the reply.
	VMs    func() []string
	Events *events.Logger
	Clock  func() time.Duration // default clock.Now

	once  sync.Once
	flood *flood
}

// Codes of refused announcements.
const (
	codeNoConfiguration = "no_configuration"
	codeBadAnnouncement = "bad_announcement"
	codeBadSignature    = "bad_signature"
	codeNotAllowed      = "not_allowed"
	codeTooMany         = "too_many"
	codeNoDispatcher    = "no_dispatcher"
)

func (in *Intake) setDefaults() {
	in.flood = newFlood()
	if in.Clock == nil {
		in.Clock = clock.Now
	}
}

// ServeHTTP answers one announcement.
func (in *Intake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.once.Do(in.setDefaults)
	sender, _, _ := net.SplitHostPort(r.RemoteAddr)
	if !in.flood.sender(in.Clock(), sender) {
		in.refuse(w, r, http.StatusTooManyRequests, codeTooMany)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		in.refuse(w, r, http.StatusRequestEntityTooLarge, codeBadAnnouncement)
		return
	}
	classes := in.Classes()
	if classes == nil {
		in.reply(w, http.StatusServiceUnavailable, codeNoConfiguration)
		return
	}
	a, status, code := check(classes, body, r.Header.Get(wire.HeaderSignature), time.Now())
	if code == "" && !in.flood.upstream(in.Clock(), a.Class, a.Upstream) {
		status, code = http.StatusTooManyRequests, codeTooMany
	}
	if code == "" && !in.Accept(a) {
		status, code = http.StatusServiceUnavailable, codeNoDispatcher
	}
	if code != "" {
		in.refuse(w, r, status, code)
		return
	}
	in.reply(w, http.StatusOK, "")
}

// refuse answers with a code. A flood of refusals leaves a few lines a second in the log.
func (in *Intake) refuse(w http.ResponseWriter, r *http.Request, status int, code string) {
	if in.flood.log(in.Clock(), code) {
		event := events.AnnouncementRefused
		if code == codeTooMany {
			event = events.AnnouncementsFlooding
		}
		in.Events.Emit(event, zap.String("code", code), zap.String("remote", r.RemoteAddr))
	}
	in.reply(w, status, code)
}

func (in *Intake) reply(w http.ResponseWriter, status int, code string) {
	reply := wire.AnnounceReply{Accepted: code == "", Code: code, VMs: in.VMs()}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

// check verifies an announcement and returns it with canonical names, or a status and code.
// The signature is checked before anything else in the body is believed.
func check(classes Classes, body []byte, signature string, now time.Time) (wire.Announcement, int, string) {
	var a wire.Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return a, http.StatusBadRequest, codeBadAnnouncement
	}
	class, ok := classes.Class(a.Class)
	if !ok || !wire.Verify(class.Secret, body, signature) {
		return a, http.StatusForbidden, codeBadSignature
	}
	if !plausible(a, now) {
		return a, http.StatusBadRequest, codeBadAnnouncement
	}
	if a.Kind != class.Kind || !allowedZone(class, a.Zone) {
		return a, http.StatusForbidden, codeNotAllowed
	}
	served, ok := canonical(classes, class, a.Serves)
	if !ok {
		return a, http.StatusForbidden, codeNotAllowed
	}
	a.ServesAs = make(map[string]string, len(served))
	names := a.Serves
	a.Serves = a.Serves[:0:0]
	for i, id := range served {
		if _, twice := a.ServesAs[id]; !twice {
			a.ServesAs[id] = names[i]
			a.Serves = append(a.Serves, id)
		}
	}
	return a, http.StatusOK, ""
}

func plausible(a wire.Announcement, now time.Time) bool {
	return plausibleIdentity(a, now) && plausibleAddress(a.Address) && len(a.Serves) <= maxServed &&
		within(a.Limits.Slots, maxSlots) && within(a.Limits.KVTokens, maxKVTokens) &&
		within(a.Load.Running, maxCalls) && within(a.Load.Waiting, maxCalls) && within(a.Load.KVTokensUsed, maxKVTokens)
}

func plausibleIdentity(a wire.Announcement, now time.Time) bool {
	skew := now.Sub(time.UnixMilli(a.SentAtMS)).Abs()
	newest := now.Add(maxIncarnationLead).UnixNano()
	return plausibleName(a.Upstream) && plausibleName(a.Zone) &&
		skew <= maxClockSkew && a.Incarnation > 0 && a.Incarnation <= newest
}

// plausibleName accepts printable ASCII without spaces; '/' separates names in keys.
func plausibleName(name string) bool {
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

// plausibleAddress accepts the IP and port of one host. A host name would let whoever answers
// for it move an upstream's calls.
func plausibleAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func within[N int | int64](n, limit N) bool { return n >= 0 && n <= limit }

func allowedZone(class *config.UpstreamClass, zone string) bool {
	return len(class.Zones) == 0 || contains(class.Zones, zone)
}

// canonical turns served names into canonical IDs; false if one is unknown or not of the class.
func canonical(classes Classes, class *config.UpstreamClass, names []string) ([]string, bool) {
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
