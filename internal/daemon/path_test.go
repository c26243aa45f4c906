package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"egretramp/internal/config"
	"egretramp/internal/fakes"
)

func chatBody(t testing.TB, messages []fakes.Message, stream bool) string {
	t.Helper()
	data, err := json.Marshal(map[string]any{"model": "WIG/L", "messages": messages, "stream": stream, "max_tokens": 8})
	require.NoError(t, err)
	return string(data)
}

func user(text string) fakes.Message { return fakes.Message{Role: "user", Content: text} }

func messageContent(t testing.TB, body string) string {
	t.Helper()
	var c struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(body), &c), body)
	require.Len(t, c.Choices, 1)
	return c.Choices[0].Message.Content
}

// TestFleet_RequestPath sends callers' requests through real daemons to fake upstreams.
func TestFleet_RequestPath(t *testing.T) {
	f := newTestFleet(t)
	f.apply(baseFile(1))
	engine := f.engine("engine-0", "zone0")
	deposit := f.service("deposit-1", "zone1", "deposit")
	catalog := f.service("catalog-2", "zone2", "catalog")
	f.waitForReplicas(3)

	t.Run("OpenAIClient", func(t *testing.T) { testOpenAIClient(t, f) })
	t.Run("ProgramTurns", func(t *testing.T) { testProgramTurns(t, f) })
	t.Run("AtMostOnce", func(t *testing.T) { testAtMostOnce(t, f, deposit) })
	t.Run("BadInput", func(t *testing.T) { testBadInput(t, f) })
	t.Run("OpenRoute", func(t *testing.T) {
		r := f.send(1, http.MethodGet, "/v1/services/catalog/wigs?size=2", "", "")
		require.Equal(t, http.StatusOK, r.status, r.body)
	})
	t.Run("KeyWithdrawn", func(t *testing.T) { testKeyWithdrawn(t, f, engine) })
	for _, fake := range []*fakes.Fake{engine, deposit, catalog} {
		for _, key := range []string{keyAna, keyBob} {
			require.False(t, fake.Received([]byte(key)), "an upstream received a caller's key")
		}
	}
}

func testOpenAIClient(t *testing.T, f *testFleet) {
	client := openai.NewClient(
		option.WithBaseURL("http://"+f.daemons[1].settings.Listen.Callers+"/v1"),
		option.WithAPIKey(keyAna), option.WithMaxRetries(0),
	)
	params := openai.ChatCompletionNewParams{
		Model:     "WIG/L",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a powdered wig, please")},
		MaxTokens: openai.Int(8),
	}
	expected := strings.Join(fakes.Answer("wig-large", []fakes.Message{user("a powdered wig, please")}, 8), " ")

	whole, err := client.Chat.Completions.New(context.Background(), params)
	require.NoError(t, err)
	require.Equal(t, expected, whole.Choices[0].Message.Content)

	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, accumulator.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, expected, accumulator.Choices[0].Message.Content)
}

func testProgramTurns(t *testing.T, f *testFleet) {
	history := []fakes.Message{user("measure the head")}
	first := f.send(0, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, history, false), headerProgram, "fitting", headerTurn, "1")
	require.Equal(t, http.StatusOK, first.status, first.body)
	require.Equal(t, strings.Join(fakes.Answer("wig-large", history, 8), " "), messageContent(t, first.body))

	again := f.send(2, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, history, false), headerProgram, "fitting", headerTurn, "1")
	require.Equal(t, first.body, again.body, "a repeated turn must be answered from the record byte for byte")

	other := f.send(1, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("another request")}, false), headerProgram, "fitting", headerTurn, "1")
	require.Equal(t, http.StatusUnprocessableEntity, other.status, other.body)

	early := f.send(1, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, history, false), headerProgram, "fitting", headerTurn, "5")
	code, notRun := early.refusal(t)
	require.Equal(t, "out_of_order", code)
	require.Equal(t, "true", notRun)

	history = append(history, fakes.Message{Role: "assistant", Content: messageContent(t, first.body)}, user("choose a colour"))
	second := f.send(1, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, history, true), headerProgram, "fitting", headerTurn, "2")
	require.Equal(t, http.StatusOK, second.status, second.body)
	require.True(t, strings.HasSuffix(second.body, "data: [DONE]\n\n"), second.body)

	mixed := f.send(1, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, []fakes.Message{user("not the history"), user("x")}, false), headerProgram, "fitting", headerTurn, "3")
	code, _ = mixed.refusal(t)
	require.Equal(t, "history_mismatch", code)

	foreign := f.send(1, http.MethodGet, "/v1/programs/fitting", keyBob, "")
	require.Equal(t, http.StatusNotFound, foreign.status, "another account's program must not be visible")

	appended := f.send(2, http.MethodPost, "/v1/programs/fitting/turns", keyAna, chatBody(t, []fakes.Message{user("and a box")}, false))
	require.Equal(t, http.StatusOK, appended.status, appended.body)

	read := f.send(0, http.MethodGet, "/v1/programs/fitting?history=true", keyAna, "")
	var p programBody
	require.NoError(t, json.Unmarshal([]byte(read.body), &p))
	require.Equal(t, uint64(4), p.NextTurn)
	require.Len(t, p.Messages, 6)

	ended := f.send(0, http.MethodPost, "/v1/programs/fitting/end", keyAna, "")
	require.Equal(t, http.StatusOK, ended.status, ended.body)
	late := f.send(1, http.MethodPost, "/v1/chat/completions", keyAna, chatBody(t, history, false), headerProgram, "fitting")
	require.Equal(t, http.StatusGone, late.status, late.body)
}

// programBody holds the fields of a program's JSON that tests read.
type programBody struct {
	NextTurn uint64            `json:"next_turn"`
	Messages []json.RawMessage `json:"messages"`
}

const (
	headerProgram = "Egretramp-Program"
	headerTurn    = "Egretramp-Turn"
)

func testAtMostOnce(t *testing.T, f *testFleet, deposit *fakes.Fake) {
	before := len(deposit.Runs())
	first := f.send(0, http.MethodPost, "/v1/services/deposit/charge", keyAna, `{"amount":40}`, "Idempotency-Key", "deposit-77")
	require.Equal(t, http.StatusOK, first.status, first.body)
	again := f.send(1, http.MethodPost, "/v1/services/deposit/charge", keyAna, `{"amount":40}`, "Idempotency-Key", "deposit-77")
	require.Equal(t, first.body, again.body)
	require.Len(t, deposit.Runs(), before+1)

	changed := f.send(2, http.MethodPost, "/v1/services/deposit/charge", keyAna, `{"amount":41}`, "Idempotency-Key", "deposit-77")
	require.Equal(t, http.StatusUnprocessableEntity, changed.status, changed.body)
	require.Len(t, deposit.Runs(), before+1)
}

func testBadInput(t *testing.T, f *testFleet) {
	good := chatBody(t, []fakes.Message{user("x")}, false)
	for name, c := range map[string]struct {
		method, path, key, body string
		headers                 []string
		status                  int
	}{
		"no key":          {method: http.MethodPost, path: "/v1/chat/completions", body: good, status: http.StatusUnauthorized},
		"wrong key":       {method: http.MethodPost, path: "/v1/chat/completions", key: "sk-nobody", body: good, status: http.StatusUnauthorized},
		"not JSON":        {method: http.MethodPost, path: "/v1/chat/completions", key: keyAna, body: "{", status: http.StatusBadRequest},
		"two objects":     {method: http.MethodPost, path: "/v1/chat/completions", key: keyAna, body: good + good, status: http.StatusBadRequest},
		"wrong type":      {method: http.MethodPost, path: "/v1/chat/completions", key: keyAna, body: `{"model":1}`, status: http.StatusBadRequest},
		"no messages":     {method: http.MethodPost, path: "/v1/chat/completions", key: keyAna, body: `{"model":"WIG/L"}`, status: http.StatusBadRequest},
		"unknown model":   {method: http.MethodPost, path: "/v1/chat/completions", key: keyAna, body: strings.Replace(good, "WIG/L", "nope", 1), status: http.StatusNotFound},
		"unknown service": {method: http.MethodGet, path: "/v1/services/nope/x", key: keyAna, status: http.StatusNotFound},
		"unknown program": {method: http.MethodGet, path: "/v1/programs/nope", key: keyAna, status: http.StatusNotFound},
		"unknown path":    {method: http.MethodGet, path: "/v2/x", key: keyAna, status: http.StatusNotFound},
		"wrong method":    {method: http.MethodDelete, path: "/v1/models", key: keyAna, status: http.StatusMethodNotAllowed},
		"bad turn":        {method: http.MethodPost, path: "/v1/chat/completions", key: keyAna, body: good, headers: []string{headerTurn, "0", headerProgram, "p"}, status: http.StatusBadRequest},
		"large body":      {method: http.MethodPost, path: "/v1/services/deposit/x", key: keyAna, body: strings.Repeat("x", 9<<20), status: http.StatusRequestEntityTooLarge},
		"key in body":     {method: http.MethodPost, path: "/v1/services/deposit/x", key: keyAna, body: `{"k":"` + keyAna + `"}`, status: http.StatusBadRequest},
		"escaped key":     {method: http.MethodPost, path: "/v1/services/deposit/x", key: keyAna, body: `{"k":"\u0073` + keyAna[1:] + `"}`, status: http.StatusBadRequest},
		"key in query":    {method: http.MethodPost, path: "/v1/services/deposit/x?k=%73" + keyAna[1:], key: keyAna, status: http.StatusBadRequest},
		"key in header":   {method: http.MethodPost, path: "/v1/services/deposit/x", key: keyAna, headers: []string{"X-Token", keyAna}, status: http.StatusBadRequest},
	} {
		r := f.send(0, c.method, c.path, c.key, c.body, c.headers...)
		require.Equal(t, c.status, r.status, "%s: %s", name, r.body)
		_, notRun := r.refusal(t)
		require.Equal(t, "true", notRun, name)
	}
	r := f.send(0, http.MethodPost, "/v1/chat/completions", keyAna, good)
	require.Equal(t, http.StatusOK, r.status, "the daemon must keep serving: %s", r.body)
}

// testKeyWithdrawn withdraws a key while a stream of its caller is open.
func testKeyWithdrawn(t *testing.T, f *testFleet, engine *fakes.Fake) {
	engine.SetFaults(fakes.Faults{Hang: true})
	defer engine.SetFaults(fakes.Faults{})
	ended := make(chan reply, 1)
	go func() {
		r, err := f.trySend(2, http.MethodPost, "/v1/chat/completions", keyBob, chatBody(t, []fakes.Message{user("long")}, true))
		if err == nil {
			ended <- r
		}
	}()
	f.eventually("the stream is not open", func() bool { return f.daemons[2].gateway.InFlight() > 0 })
	file := baseFile(2)
	file.ClientAccounts[1].Keys = []config.Key{{ID: "key-bob-2", SHA256: config.HashKey("sk-bob-second-0123456")}}
	f.apply(file)
	r := <-ended
	require.Contains(t, r.body, "key_withdrawn")
	for vm := range f.daemons {
		refused := f.send(vm, http.MethodGet, "/v1/models", keyBob, "")
		require.Equal(t, http.StatusUnauthorized, refused.status)
	}
}
