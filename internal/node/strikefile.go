package node

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"egretramp/internal/events"
	"egretramp/internal/suspect"
)

const (
	// strikeSaveDelay is the time in which changes are collected before they are saved.
	strikeSaveDelay = 100 * time.Millisecond
	// strikeSaveRetryDelay is the delay after a failed save.
	strikeSaveRetryDelay = time.Second
)

// strikeFile stores a control VM's records of requests that crashed upstreams, so that they survive a
// loss of power of the whole fleet.
type strikeFile struct {
	path    string
	tracker *suspect.Tracker
	events  *events.Logger
}

func newStrikeFile(folder string, tracker *suspect.Tracker, log *events.Logger) *strikeFile {
	return &strikeFile{path: filepath.Join(folder, "suspects.json"), tracker: tracker, events: log}
}

// load merges the stored records into the tracker. Without them, the control VM learns the records that
// other VMs have.
func (f *strikeFile) load() {
	data, err := os.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var records []suspect.Record
	if err == nil {
		err = json.Unmarshal(data, &records)
	}
	if err != nil {
		f.events.Emit(events.NodeStrikesNotStored, zap.String("path", f.path), zap.Error(err))
		return
	}
	f.tracker.Merge(records)
}

// run saves the records after each change until ctx ends. A failed save is repeated.
func (f *strikeFile) run(ctx context.Context) {
	saved := uint64(0)
	for ctx.Err() == nil {
		version, changed := f.tracker.Version()
		if version == saved {
			select {
			case <-ctx.Done():
			case <-changed:
				sleep(ctx, strikeSaveDelay)
			}
			continue
		}
		records, version, _ := f.tracker.Since(0)
		if err := f.save(records); err != nil {
			f.events.Emit(events.NodeStrikesNotStored, zap.String("path", f.path), zap.Error(err))
			sleep(ctx, strikeSaveRetryDelay)
			continue
		}
		saved = version
	}
}

func (f *strikeFile) save(records []suspect.Record) error {
	data, err := json.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "node: encode the records of requests that crashed upstreams")
	}
	return writeDurably(f.path, data)
}
