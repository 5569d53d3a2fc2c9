// Package rollingrestart sends commands to the operators' sockets of running controllers, and restarts controllers
// that share proxies one after the other.
package rollingrestart

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cressknot/internal/lease"
)

// pollInterval is the time between two commands while a condition is awaited: half a heartbeat.
const pollInterval = time.Duration(lease.CheckInterval) / 2

// WaitFor polls a controller until what it sees of its members meets a condition, for a limited time.
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

// Restart restarts controllers one after the other. Each hands its proxies over before, and the next one follows
// when every proxy has a controller again. It ends with the first step that fails or takes longer than the timeout;
// a controller that was not restarted then serves proxies again.
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
