package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"egretramp/internal/admin/api"
)

// CutLinks replaces the links to other VMs that are cut at this one; the zero value heals all.
// Links that other VMs cut stay cut.
func (v *VM) CutLinks(ctx context.Context, links api.Links) error {
	body, err := json.Marshal(links)
	if err != nil {
		return errors.Wrap(err, "harness: cannot encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, v.AdminURL(api.PathLinks), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "harness: bad administration request")
	}
	resp, err := v.adminClient().Do(req)
	if err != nil {
		return errors.Wrapf(err, "harness: %s does not answer operators", v.Name)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("harness: %s cut no links: status %d: %.200s", v.Name, resp.StatusCode, data)
	}
	return nil
}
