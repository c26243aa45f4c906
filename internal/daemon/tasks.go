package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

var errTasksStopped = errors.New("daemon: stopped")

// tasks runs the daemon's background goroutines. The first one that fails cancels all of them.
type tasks struct {
	wg     conc.WaitGroup
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// run starts a task; its error cancels all tasks.
func (t *tasks) run(task func(context.Context) error) {
	t.wg.Go(func() {
		if err := task(t.ctx); err != nil {
			t.cancel(err)
		}
	})
}

// runForever starts a task that ends only with its context.
func (t *tasks) runForever(task func(context.Context)) {
	t.run(func(ctx context.Context) error {
		task(ctx)
		return nil
	})
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stop cancels all tasks, waits for them and returns the error of the first one that failed, if any.
func (t *tasks) stop() error {
	t.cancel(errTasksStopped)
	t.wg.Wait()
	if err := context.Cause(t.ctx); !errors.Is(err, errTasksStopped) {
		return err
	}
	return nil
}
