package scenario

import (
	"context"
	"slices"
	"syscall"
	"time"

	"cressknot/internal/rollingrestart"
)

const (
	// rollingStepTimeout bounds each step of a rolling restart.
	rollingStepTimeout = 30 * time.Second
	// rollingDownTime is how long a controller is down in a rolling restart.
	rollingDownTime = time.Second / 2
)

// rolling restarts all controllers one after the other, like the command "cressknot rolling".
func (r *runner) rolling(ctx context.Context, _ FaultSpec) {
	var sockets []string
	for _, c := range r.controllers {
		sockets = append(sockets, c.socket)
	}
	began := time.Now()
	restart := func(ctx context.Context, socket string) error {
		c := r.controllers[slices.Index(sockets, socket)]
		if err := c.stop(syscall.SIGTERM); err != nil {
			return err
		}
		sleep(ctx, rollingDownTime)
		return c.start(r.Launch)
	}
	if err := rollingrestart.Restart(ctx, sockets, rollingStepTimeout, restart); err != nil {
		r.reportProblem("rolling restart: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.RollingRestart = time.Since(began).Seconds()
}

// controllerCrash kills controllers and restarts them after the fault's duration. Proxies that read files have no
// session that would end, so they are recorded as disconnected until the restart.
func (r *runner) controllerCrash(ctx context.Context, spec FaultSpec) {
	controllers := r.pickControllers(spec.Fraction)
	forFileProxies := func(do func(proxy string)) {
		for i, proxy := range r.proxies {
			if proxy.Folder != "" && slices.Contains(controllers, r.controllers[r.ownerByProxy[i]]) {
				do(proxy.Name)
			}
		}
	}
	defer forFileProxies(r.watch.Connected)
	forFileProxies(r.watch.Disconnected)
	for _, c := range controllers {
		r.kill(c)
	}
	wait(ctx, spec.Duration)
	r.restartControllers(controllers)
}

// kill ends a controller's process with SIGKILL.
func (r *runner) kill(c *controllerProcess) {
	c.usage() // peak memory can only be read while the process runs
	if err := c.stop(syscall.SIGKILL); err != nil {
		r.reportProblem("%v", err)
	}
}

func (r *runner) restartControllers(controllers []*controllerProcess) {
	for _, c := range controllers {
		if err := c.start(r.Launch); err != nil {
			r.reportProblem("%v", err)
		}
	}
}

// controllerStall repeatedly stops controllers with SIGSTOP and continues them after a time.
func (r *runner) controllerStall(ctx context.Context, spec FaultSpec) {
	stall := millis(orDefault(spec.Size, defaultStallMillis))
	controllers := r.pickControllers(spec.Fraction)
	repeat(ctx, spec.Duration, func() {
		for _, c := range controllers {
			c.signal(syscall.SIGSTOP)
		}
		sleep(ctx, stall)
		for _, c := range controllers {
			c.signal(syscall.SIGCONT)
		}
		wait(ctx, spec.Interval)
	})
}

func (r *runner) listDown(ctx context.Context, spec FaultSpec) {
	r.listService.SetDown(true)
	wait(ctx, spec.Duration)
	r.listService.SetDown(false)
}

func (r *runner) listLate(ctx context.Context, spec FaultSpec) {
	r.listService.SetDelay(seconds(orDefault(spec.Size, defaultListDelay)))
	wait(ctx, spec.Duration)
	r.listService.SetDelay(0)
}

// listDownForSome makes the list service answer some controllers with errors.
func (r *runner) listDownForSome(ctx context.Context, spec FaultSpec) {
	for _, c := range r.pickControllers(spec.Fraction) {
		r.listService.SetDownFor(c.name, true)
		defer r.listService.SetDownFor(c.name, false)
	}
	wait(ctx, spec.Duration)
}
