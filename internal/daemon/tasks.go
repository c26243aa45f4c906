package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

var errTasksStopped = errors.New("daemon: stopped")

// tasks are the goroutines of the daemon's parts. The first that fails ends all.
type tasks struct {
	wg     conc.WaitGroup
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

func (t *tasks) run(task func(context.Context) error) {
	t.wg.Go(func() {
		if err := task(t.ctx); err != nil {
			t.cancel(err)
		}
	})
}

// stop ends all tasks and returns why the first one failed, nil if none did.
func (t *tasks) stop() error {
	t.cancel(errTasksStopped)
	t.wg.Wait()
	if err := context.Cause(t.ctx); !errors.Is(err, errTasksStopped) {
		return err
	}
	return nil
}
