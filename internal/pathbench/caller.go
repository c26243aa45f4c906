package pathbench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/harness"
)

// maxTurns is the number of turns of a program, after which the next program starts.
const maxTurns = 20

// caller sends streamed chat completion requests.
type caller struct {
	client *http.Client
	engine string
	vms    []string // caller addresses of the VMs in the engine's zone
}

func newCaller(f *harness.Fleet, engine *harness.Upstream) *caller {
	c := &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}, engine: engine.Address}
	for _, vm := range f.VMs {
		if vm.Settings.Zone == zoneName {
			c.vms = append(c.vms, vm.Settings.Listen.Callers)
		}
	}
	return c
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chat struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// call sends the i-th request over a path and returns the times to the first byte and to the end of
// the answer.
func (c *caller) call(ctx context.Context, w Path, i int) (first, whole time.Duration, err error) {
	body := chat{
		Model: model, MaxTokens: maxAnswerTokens, Stream: true,
		Messages: []message{{"user", fmt.Sprintf("question %d of the bench", i)}},
	}
	data, err := json.Marshal(body)
	if err != nil {
		return 0, 0, err
	}
	address, path := c.vms[i%len(c.vms)], "/v1/chat/completions"
	switch w {
	case Direct:
		address = c.engine
	case Program:
		path = fmt.Sprintf("/v1/programs/bench-%d/turns", i/maxTurns)
		if i%maxTurns == 0 {
			if err := c.create(ctx, address, i/maxTurns); err != nil {
				return 0, 0, err
			}
		}
	}
	return c.timed(ctx, "http://"+address+path, data)
}

func (c *caller) timed(ctx context.Context, url string, data []byte) (first, whole time.Duration, err error) {
	start := time.Now()
	resp, err := c.post(ctx, url, data)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	one := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, one); err != nil {
		return 0, 0, err
	}
	first = time.Since(start)
	rest, err := io.ReadAll(resp.Body)
	whole = time.Since(start)
	if err != nil {
		return 0, 0, err
	}
	if resp.StatusCode != http.StatusOK || !bytes.HasSuffix(rest, []byte("data: [DONE]\n\n")) {
		return 0, 0, errors.Newf("status %d: %.200s", resp.StatusCode, append(one, rest...))
	}
	return first, whole, nil
}

// create creates the n-th program.
func (c *caller) create(ctx context.Context, address string, n int) error {
	resp, err := c.post(ctx, "http://"+address+"/v1/programs", fmt.Appendf(nil, `{"name": "bench-%d"}`, n))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if data, _ := io.ReadAll(resp.Body); resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("program: status %d: %.200s", resp.StatusCode, data)
	}
	return nil
}

func (c *caller) post(ctx context.Context, url string, data []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	return c.client.Do(req)
}
