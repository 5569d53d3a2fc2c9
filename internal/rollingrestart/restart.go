// Package rollingrestart restarts controllers that share proxies one after the other, by commands to their operators'
// sockets.
package rollingrestart

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cressknot/internal/lease"
)

// pollInterval is the time between two polls of a controller: half a heartbeat interval.
const pollInterval = time.Duration(lease.CheckInterval) / 2

// WaitFor polls a controller until condition returns nil for its members. After the timeout it returns the last error
// of the condition or the poll, and ctx.Err() if the context ends first.
func WaitFor(ctx context.Context, address string, timeout time.Duration, condition func(Members) error) error {
	for deadline := time.Now().Add(timeout); ; {
		members, err := fetchMembers(address)
		if err == nil {
			err = condition(members)
		}
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: timed out after %s: %w", address, timeout, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// Restart restarts the controllers at the given operators' sockets one after the other with the callback restart.
// Each controller first hands its proxies over; the next one follows once every proxy has a controller again. Restart
// stops at the first step that fails or exceeds the timeout. If a controller could not hand over, it is told to serve
// proxies again.
func Restart(
	ctx context.Context, sockets []string, timeout time.Duration, restart func(ctx context.Context, socket string) error,
) error {
	for _, address := range sockets {
		if err := restartOne(ctx, address, timeout, restart); err != nil {
			return err
		}
	}
	return nil
}

// restartOne hands over the proxies of one controller, restarts it, and waits until every proxy has a controller.
func restartOne(
	ctx context.Context, address string, timeout time.Duration, restart func(ctx context.Context, socket string) error,
) error {
	if err := WaitFor(ctx, address, timeout, Members.AllServed); err != nil {
		return fmt.Errorf("before the restart: %w", err)
	}
	if _, err := Ask(address, "retire", "on"); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	if err := WaitFor(ctx, address, timeout, Members.HandedOver); err != nil {
		_, undoErr := Ask(address, "retire", "off")
		return errors.Join(fmt.Errorf("hand over proxies: %w", err), undoErr)
	}
	if err := restart(ctx, address); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	if err := WaitFor(ctx, address, timeout, Members.AllServed); err != nil {
		return fmt.Errorf("after the restart: %w", err)
	}
	return nil
}
