package fakes

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

func startService(t *testing.T, o Options) *Fake {
	o.Kind = config.KindService
	return startFake(t, o)
}

func TestService_RecordsEveryRun(t *testing.T) {
	f := startService(t, Options{})
	for range 2 {
		status, _ := get(t, "POST", f.Addr(), "/charge?work_ms=2", "body", wire.HeaderIdempotency, "k")
		require.Equal(t, 200, status)
	}
	list, err := NewClient(f.Addr()).Runs(context.Background())
	require.NoError(t, err)
	require.Len(t, list, 2)
	require.Equal(t, 2, list[1].Sequence)
	require.Equal(t, "k", list[1].IdempotencyKey)
	require.Equal(t, BodyHash([]byte("body")), list[1].BodySHA256)
	require.GreaterOrEqual(t, list[1].EndedNS-list[1].StartedNS, int64(2*time.Millisecond))
}

func TestFake_FindsReceivedBytesExceptControlRequests(t *testing.T) {
	f := startService(t, Options{ReceivedLimit: 1 << 10, Watch: []string{"watched-key"}})
	client := NewClient(f.Addr())
	for _, s := range []string{"watched-key", "other-key"} {
		reply, err := client.Received(context.Background(), s)
		require.NoError(t, err)
		require.Equal(t, ReceivedReply{Contains: false, Complete: true}, reply)
	}
	get(t, "POST", f.Addr(), "/x", "a watched-key and an other-key")
	require.True(t, f.Received([]byte("watched-key")))
	require.True(t, f.Received([]byte("other-key")))
	get(t, "POST", f.Addr(), "/x", strings.Repeat("y", 4<<10))
	require.True(t, f.Received([]byte("watched-key")))
	reply, err := client.Received(context.Background(), "other-key")
	require.NoError(t, err)
	require.Equal(t, ReceivedReply{Contains: false, Complete: false}, reply)
	require.NoError(t, client.Watch(context.Background(), []string{"other-key", "watched-key"}))
	for s, want := range map[string]ReceivedReply{"other-key": {}, "watched-key": {Contains: true, Complete: true}} {
		reply, err := client.Received(context.Background(), s)
		require.NoError(t, err)
		require.Equal(t, want, reply, "reply for a string that was watched after bytes had been dropped")
	}
}

func TestReceived_FindsWatchedStringAcrossReads(t *testing.T) {
	r := newReceived(4, []string{"secret"}, nil)
	var a, b connLog
	r.add(&a, []byte("xxsec"))
	r.add(&b, []byte("ret"))
	require.False(t, r.contains([]byte("secret")))
	r.add(&a, []byte("ret"))
	require.True(t, r.contains([]byte("secret")))
}

func TestFake_RecordsSurviveCrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	for range 2 {
		f := startService(t, Options{RecordTo: path, Watch: []string{"watched-key"}, Faults: Faults{CrashMark: "poison"}})
		get(t, "POST", f.Addr(), "/x", "watched-key")
		_, err := do(t, "POST", f.Addr(), "/poison", "")
		require.Error(t, err)
	}
	all, err := ReadRecords(path)
	require.NoError(t, err)
	require.Len(t, all.Runs, 2)
	require.Equal(t, Finished, all.Runs[1].Outcome)
	require.NotEqual(t, all.Runs[0].Incarnation, all.Runs[1].Incarnation)
	require.Equal(t, []string{"watched-key", "watched-key"}, all.Seen)
}

func TestFake_ControlsNeedSeparateConnection(t *testing.T) {
	f := startService(t, Options{})
	client := http.Client{}
	for i, want := range []int{200, 421} {
		resp, err := client.Get("http://" + f.Addr() + []string{"/x", "/_fake/runs"}[i])
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		require.Equal(t, want, resp.StatusCode)
	}
}

func TestFake_CrashOnMarkedRequestResetsEverything(t *testing.T) {
	f := startService(t, Options{Faults: Faults{CrashMark: "poison"}})
	_, err := do(t, "POST", f.Addr(), "/x", "with poison in it")
	require.Error(t, err)
	_, err = net.DialTimeout("tcp", f.Addr(), time.Second)
	require.Error(t, err)
	require.Empty(t, f.Runs())
}

func TestFake_SilenceAffectsOnlyOpenConnections(t *testing.T) {
	f := startService(t, Options{})
	conn, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer conn.Close()
	request := "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	buf := make([]byte, 4096)
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	_, err = conn.Read(buf)
	require.NoError(t, err)
	f.SetFaults(Faults{Silence: true})
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(buf)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	status, _ := get(t, "GET", f.Addr(), "/y", "")
	require.Equal(t, 200, status)
	require.Len(t, f.Runs(), 2)
}

func TestFake_SilenceAffectsActiveStream(t *testing.T) {
	f := startEngine(t, EngineOptions{StepTime: 5 * time.Millisecond})
	conn, err := net.Dial("tcp", f.Addr())
	require.NoError(t, err)
	defer conn.Close()
	body := chatBody(user("hello words:40000"), `,"stream":true`)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", pathChat, len(body), body)
	require.NoError(t, err)
	buf := make([]byte, 4096)
	_, err = conn.Read(buf)
	require.NoError(t, err)
	f.SetFaults(Faults{Silence: true})
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = io.Copy(io.Discard, conn)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(buf)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "received bytes on a silenced connection")
}

func TestFake_TruncatesHangsAndFails(t *testing.T) {
	f := startService(t, Options{})
	f.SetFaults(Faults{TruncateAfter: 1})
	resp, err := do(t, "GET", f.Addr(), "/x", "")
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	resp.Body.Close()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	f.SetFaults(Faults{ErrorRate: 1})
	status, _ := get(t, "GET", f.Addr(), "/x", "")
	require.Equal(t, 500, status)
	require.Len(t, f.Runs(), 1)
	f.SetFaults(Faults{Hang: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.Addr()+"/x", nil)
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Len(t, f.Runs(), 2)
}

func TestWeightStore_RefusesAboveItsRate(t *testing.T) {
	f := startFake(t, Options{Kind: config.KindWeightStore, WeightStore: WeightStoreOptions{RatePerSecond: 0.1, Burst: 1}})
	for _, want := range []int{200, 429, 429} {
		resp, err := do(t, "GET", f.Addr(), "/weights/m", "")
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, want, resp.StatusCode)
		require.Equal(t, want == 429, resp.Header.Get("Retry-After") != "")
	}
	v, err := NewClient(f.Addr()).Violations(context.Background())
	require.NoError(t, err)
	require.Equal(t, Violations{Requests: 3, Refused: 2, Early: 1, MostUnderWay: 1}, v)
}

// vm records the announcements that it receives.
type vm struct {
	mu   sync.Mutex
	seen []wire.Announcement
	// hold, if not nil, delays announcements until a goodbye has been received.
	hold *announcementHold
}

type announcementHold struct {
	held            chan struct{} // closed when the first announcement is delayed
	goodbyeReceived chan struct{} // closed when a goodbye has been received
	once            sync.Once
}

func (v *vm) waitForGoodbye() *announcementHold {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hold = &announcementHold{held: make(chan struct{}), goodbyeReceived: make(chan struct{})}
	return v.hold
}

func (v *vm) receive(a wire.Announcement) {
	v.mu.Lock()
	hold := v.hold
	v.mu.Unlock()
	if hold != nil && !a.Goodbye {
		hold.once.Do(func() { close(hold.held) })
		<-hold.goodbyeReceived
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seen = append(v.seen, a)
	if hold != nil && a.Goodbye {
		close(hold.goodbyeReceived)
	}
}

// inOrder returns the announcements sorted by sequence number.
func (v *vm) inOrder() []wire.Announcement {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.SortedFunc(slices.Values(v.seen), func(a, b wire.Announcement) int { return cmp.Compare(a.Sequence, b.Sequence) })
}

func (v *vm) handler(t *testing.T, reply wire.AnnounceReply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !wire.Verify("a secret of the class", body, r.Header.Get(wire.HeaderSignature)) {
			t.Error("announcement has an invalid signature")
		}
		var a wire.Announcement
		_ = json.Unmarshal(body, &a)
		v.receive(a)
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (v *vm) has(ok func(wire.Announcement) bool) func() bool {
	return func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return len(v.seen) > 0 && ok(v.seen[len(v.seen)-1])
	}
}

func TestFake_StopsAnnouncingAndAnswersLate(t *testing.T) {
	var v vm
	s := httptest.NewServer(v.handler(t, wire.AnnounceReply{Accepted: true}))
	defer s.Close()
	f := startFake(t, Options{
		Kind: config.KindService, Secret: "a secret of the class",
		AnnounceTo: []string{s.Listener.Addr().String()}, Faults: Faults{StopAnnouncing: true, LateMS: 30},
	})
	start := time.Now()
	get(t, "GET", f.Addr(), "/x", "")
	require.GreaterOrEqual(t, time.Since(start), 30*time.Millisecond)
	f.Stop(context.Background())
	require.Empty(t, v.seen)
}

func TestAnnouncer_ReportsLoadDelayedByLag(t *testing.T) {
	a := announcer{opts: Options{LoadLag: time.Hour}, worker: newService(Options{}, nil, nil)}
	a.samples = []loadReport{{at: time.Now().Add(-3 * time.Hour), running: 1}, {at: time.Now().Add(-2 * time.Hour), running: 2}}
	a.takeSample() // running 0, too new to be reported
	require.Equal(t, 2, a.laggingLoad().running)
}

func TestFake_AnnouncesFailsOverAndSaysGoodbye(t *testing.T) {
	var first, second vm
	path := filepath.Join(t.TempDir(), "records")
	s2 := httptest.NewServer(second.handler(t, wire.AnnounceReply{Accepted: true}))
	defer s2.Close()
	s1 := httptest.NewServer(first.handler(t, wire.AnnounceReply{Accepted: true, VMs: []string{s2.Listener.Addr().String()}}))
	f := startFake(t, Options{
		Kind: config.KindEngine, Secret: "a secret of the class", Zone: "z", Serves: []string{testModel},
		AnnounceTo: []string{s1.Listener.Addr().String()}, AnnounceInterval: 10 * time.Millisecond,
		StopLinger: 50 * time.Millisecond, RecordTo: path,
	})
	ok := func(a wire.Announcement) bool {
		return a.Address == f.Addr() && a.ChecksFencing && a.CanResume && a.Limits.Slots == 8
	}
	require.Eventually(t, first.has(ok), 5*time.Second, 5*time.Millisecond)
	s1.Close()
	require.Eventually(t, second.has(ok), 5*time.Second, 5*time.Millisecond)
	// An announcement in flight may arrive after the goodbye; it has a lower sequence number.
	<-second.waitForGoodbye().held
	f.Stop(context.Background())
	seen := second.inOrder()
	for i, a := range seen {
		require.Equal(t, i == len(seen)-1, a.Goodbye, "announcement %d: the only goodbye must have the highest sequence number", i)
	}
	all, err := ReadRecords(path)
	require.NoError(t, err)
	require.Len(t, all.Departures, 1)
}
