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

// CutLinks replaces the set of links to other VMs that this VM cuts; the zero value restores all of
// them. Links that other VMs have cut stay cut.
func (v *VM) CutLinks(ctx context.Context, links api.Links) error {
	body, err := json.Marshal(links)
	if err != nil {
		return errors.Wrap(err, "harness: cannot encode links")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, v.AdminURL(api.PathLinks), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "harness: cannot create the administration request")
	}
	resp, err := v.adminClient().Do(req)
	if err != nil {
		return errors.Wrapf(err, "harness: administration request to %s failed", v.Name)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("harness: cutting links at %s failed with status %d: %.200s", v.Name, resp.StatusCode, data)
	}
	return nil
}
