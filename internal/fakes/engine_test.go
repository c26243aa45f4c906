package fakes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/upstream/wire"
)

const testModel = "m"

func startFake(t *testing.T, opts Options) *Fake {
	t.Helper()
	if opts.Name == "" {
		opts.Name = "f"
	}
	f, err := New(opts)
	require.NoError(t, err)
	require.NoError(t, f.Start())
	t.Cleanup(f.Close)
	return f
}

func startEngine(t *testing.T, e EngineOptions) *Fake {
	if e.StepTime == 0 {
		e.StepTime = 200 * time.Microsecond
	}
	return startFake(t, Options{Kind: config.KindEngine, Serves: []string{testModel}, Engine: e})
}

// do sends a request on a new connection.
func do(t *testing.T, method, addr, path, body string, header ...string) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	return client.Do(req)
}

func get(t *testing.T, method, addr, path, body string, header ...string) (int, []byte) {
	t.Helper()
	resp, err := do(t, method, addr, path, body, header...)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, data
}

func chatBody(messages []Message, extra string) string {
	data, _ := json.Marshal(messages)
	return fmt.Sprintf(`{"model":%q,"messages":%s%s}`, testModel, data, extra)
}

func user(text string) []Message {
	return []Message{{Role: "user", Content: text}}
}

// readEvents reads server-sent events up to [DONE] and returns the concatenated text, the number
// of chunks and the last chunk. done is false if the stream ended without [DONE].
func readEvents(r io.Reader) (text string, chunks int, last completion, done bool) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		data, found := strings.CutPrefix(s.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, chunks, last, true
		}
		chunks++
		last = completion{}
		_ = json.Unmarshal([]byte(data), &last)
		for _, c := range last.Choices {
			text += c.Delta.Content
		}
	}
	return text, chunks, last, false
}

func TestEngine_WholeAndStreamedAnswersAgree(t *testing.T) {
	f := startEngine(t, EngineOptions{})
	want := strings.Join(Answer(testModel, user("a quote please"), 0), " ")
	status, data := get(t, "POST", f.Addr(), pathChat, chatBody(user("a quote please"), ""), wire.HeaderAttempt, "a1")
	require.Equal(t, 200, status)
	var c completion
	require.NoError(t, json.Unmarshal(data, &c))
	require.Equal(t, want, c.Choices[0].Message.Content)
	require.Equal(t, wire.CompletionIDPrefix+"a1", c.ID)
	require.Equal(t, 3, c.Usage.PromptTokens)

	body := chatBody(user("a quote please"), `,"stream":true,"stream_options":{"include_usage":true}`)
	resp, err := do(t, "POST", f.Addr(), pathChat, body, wire.HeaderAttempt, "a2")
	require.NoError(t, err)
	defer resp.Body.Close()
	text, _, last, done := readEvents(resp.Body)
	require.True(t, done)
	require.Equal(t, want, text)
	require.Equal(t, "a2", resp.Header.Get(wire.HeaderAttempt))
	require.Equal(t, len(strings.Fields(want)), last.Usage.CompletionTokens)
}

func TestEngine_AnswersDependOnTheWholeConversation(t *testing.T) {
	a := append(user("one"), Message{Role: "assistant", Content: "x"}, Message{Role: "user", Content: "two"})
	b := append(user("other"), a[1:]...)
	require.NotEqual(t, Answer(testModel, a, 0), Answer(testModel, b, 0))
	require.NotEqual(t, Answer(testModel, a, 0), Answer("n", a, 0))
	require.Equal(t, Answer(testModel, a, 0)[:2], Answer(testModel, a, 2))
	require.Len(t, Answer(testModel, user("go words:90"), 0), 90)
	var parts Message
	require.NoError(t, json.Unmarshal([]byte(`{"role":"user","content":[{"type":"text","text":"one"}]}`), &parts))
	require.Equal(t, user("one")[0], parts)
}

func TestEngine_ResumesBrokenStreamFromChunk(t *testing.T) {
	f := startEngine(t, EngineOptions{})
	f.SetFaults(Faults{TruncateAfter: 3})
	body := chatBody(user("hello words:20"), `,"stream":true`)
	resp, err := do(t, "POST", f.Addr(), pathChat, body, wire.HeaderAttempt, "a1")
	require.NoError(t, err)
	text, n, _, done := readEvents(resp.Body)
	resp.Body.Close()
	require.False(t, done)
	require.Equal(t, 3, n)
	f.SetFaults(Faults{})
	resp, err = do(t, "GET", f.Addr(), fmt.Sprintf("%sa1?from=%d", pathStreams, n), "")
	require.NoError(t, err)
	defer resp.Body.Close()
	rest, _, _, done := readEvents(resp.Body)
	require.True(t, done)
	require.Equal(t, strings.Join(Answer(testModel, user("hello words:20"), 0), " "), text+rest)
}

func TestEngine_CancelsOnRequest(t *testing.T) {
	f := startEngine(t, EngineOptions{ResumeGrace: time.Hour})
	body := chatBody(user("hello words:90000"), `,"stream":true`)
	resp, err := do(t, "POST", f.Addr(), pathChat, body, wire.HeaderAttempt, "a1")
	require.NoError(t, err)
	defer resp.Body.Close()
	status, _ := get(t, "DELETE", f.Addr(), pathStreams+"a1", "")
	require.Equal(t, 200, status)
	require.Equal(t, Cancelled, f.Runs()[0].Outcome)
	_, _, _, done := readEvents(resp.Body)
	require.False(t, done)
	status, _ = get(t, "GET", f.Addr(), pathStreams+"a1?from=0", "")
	require.Equal(t, 404, status)
}

func TestEngine_CancelsAbandonedCallAfterGrace(t *testing.T) {
	f := startEngine(t, EngineOptions{ResumeGrace: 20 * time.Millisecond})
	body := chatBody(user("hello words:90000"), `,"stream":true`)
	resp, err := do(t, "POST", f.Addr(), pathChat, body, wire.HeaderAttempt, "a1")
	require.NoError(t, err)
	resp.Body.Close()
	cancelled := func() bool { return f.Runs()[0].Outcome == Cancelled }
	require.Eventually(t, cancelled, 4*time.Second, 5*time.Millisecond)
}

func TestEngine_CachesPrefixUntilReleased(t *testing.T) {
	f := startEngine(t, EngineOptions{})
	first := user("the long first message")
	ask := func(messages []Message) usage {
		_, data := get(t, "POST", f.Addr(), pathChat, chatBody(messages, ""), wire.HeaderSession, "s")
		var c completion
		require.NoError(t, json.Unmarshal(data, &c))
		return *c.Usage
	}
	require.Zero(t, ask(first).PromptDetails.CachedTokens)
	answer := Answer(testModel, first, 0)
	second := append(first, Message{Role: "assistant", Content: strings.Join(answer, " ")}, Message{Role: "user", Content: "next"})
	require.Equal(t, 4+len(answer), ask(second).PromptDetails.CachedTokens)

	_, list := get(t, "GET", f.Addr(), pathSessions, "")
	require.Contains(t, string(list), `"session":"s"`)
	_, kv := get(t, "GET", f.Addr(), pathSessions+"/s/kv", "")
	status, _ := get(t, "DELETE", f.Addr(), pathSessions+"/s", "")
	require.Equal(t, 200, status)
	_, list = get(t, "GET", f.Addr(), pathSessions, "")
	require.JSONEq(t, `{"sessions":[]}`, string(list))
	require.Zero(t, ask(first).PromptDetails.CachedTokens)
	status, _ = get(t, "PUT", f.Addr(), pathSessions+"/s/kv", string(kv))
	require.Equal(t, 200, status)
	require.Equal(t, 4+len(answer)+1, ask(second).PromptDetails.CachedTokens)
}

func TestKVCache_EvictsLeastRecentlyUsedAndLeavesGaps(t *testing.T) {
	now := time.Unix(0, 0)
	c := kvCache{capacity: 10, gap: 3}
	words := func(n int) []string { return strings.Fields(strings.Repeat("w ", n)) }
	require.True(t, c.store("a", words(4), now))
	require.True(t, c.store("b", words(4), now))
	cached, ok := c.reserve("a", words(6), 6, now)
	require.True(t, ok)
	require.Equal(t, 4, cached)
	c.release("a", words(6), 6, true, now)
	require.True(t, c.store("c", words(3), now)) // evicts b, used less recently than a
	require.Equal(t, -1, c.find("b"))
	require.GreaterOrEqual(t, c.find("a"), 0)
	require.LessOrEqual(t, c.used(), c.capacity)
	_, ok = c.reserve("d", words(11), 11, now)
	require.False(t, ok)
	_, ok = c.reserve("d", words(7), 7, now) // evicts a, used less recently than c
	require.True(t, ok)
	require.Equal(t, -1, c.find("a"))
	require.GreaterOrEqual(t, c.find("c"), 0)
	require.Empty(t, c.eventsSince(0, now.Add(-time.Second)))
	for _, e := range c.eventsSince(0, now) {
		require.NotZero(t, e.Sequence%3)
	}
}

func TestEngine_ChecksFencingUnlessDisabled(t *testing.T) {
	f := startEngine(t, EngineOptions{LoadTime: time.Microsecond})
	order := func(n int) int {
		body := fmt.Sprintf(`{"kind":"load_model","model":"other","fencing":%d}`, n)
		status, _ := get(t, "POST", f.Addr(), pathOrders, body)
		return status
	}
	require.Equal(t, 200, order(5))
	require.Equal(t, 409, order(4))
	require.Contains(t, f.worker.serves(), "other")
	f.SetFaults(Faults{IgnoreFencing: true})
	require.Equal(t, 200, order(4))
	list, err := NewClient(f.Addr()).Orders(context.Background())
	require.NoError(t, err)
	require.Equal(t, []bool{true, false, true}, []bool{list[0].Obeyed, list[1].Obeyed, list[2].Obeyed})
}

func TestEngine_BatchesUpToItsSlots(t *testing.T) {
	e := newEngine(Options{Engine: EngineOptions{Slots: 2, KVTokens: 100}}, newFaults(Faults{}, 0), &runs{})
	for _, a := range []string{"a1", "a2", "a3"} {
		c := &call{attempt: a, answer: []string{"x"}, advanced: make(chan struct{})}
		c.run = e.runs.start(Run{})
		require.True(t, e.submit(c))
		require.False(t, e.submit(c), "the same attempt was accepted twice")
	}
	now := time.Now()
	_, busy := e.beginStep(now)
	require.True(t, busy)
	require.Equal(t, loadReport{running: 2, waiting: 1, kvTokens: 2, kvLimit: 100, slots: 2, canResume: true, hasFencing: true}, e.load())
	e.endStep(now)
	_, busy = e.beginStep(now)
	require.True(t, busy)
	require.Equal(t, 1, e.load().running)
}

func TestEngine_SwapsTwoAnswers(t *testing.T) {
	f := startEngine(t, EngineOptions{})
	f.SetFaults(Faults{Crossed: true})
	attempts := make(chan string, 2)
	for _, a := range []string{"a1", "a2"} {
		go func() {
			resp, err := do(t, "POST", f.Addr(), pathChat, chatBody(user(a), ""), wire.HeaderAttempt, a)
			if err != nil {
				attempts <- err.Error()
				return
			}
			defer resp.Body.Close()
			data, _ := io.ReadAll(resp.Body)
			got := resp.Header.Get(wire.HeaderAttempt)
			if got == a || !bytes.Contains(data, []byte(wire.CompletionIDPrefix+got)) {
				got = "not crossed"
			}
			attempts <- got
		}()
	}
	require.ElementsMatch(t, []string{"a1", "a2"}, []string{<-attempts, <-attempts})
}
