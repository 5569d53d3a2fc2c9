package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cressknot/internal/config"
	"cressknot/internal/lease"
	"cressknot/internal/rollingrestart"
)

// socketVariable is the environment variable with the socket of the controller to restart.
const socketVariable = "CRESSKNOT_SOCKET"

func retireCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "retire on|off",
		Short: "Hand all proxies on to other governors, or take part again",
		Long: `Hand all proxies of a governor on to those that it shares them with, some each second; it goes on
running and takes only what nobody else does. 'show members' tells how far that is.`,
		Args: positionalArgs(cobra.ExactArgs(1)),
	}
	wait := c.Flags().Duration("wait", 0, "with on: wait so long until it holds no proxy; exit code 1 if it still does")
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		mode := args[0]
		if mode != "on" && mode != "off" {
			return usageError{fmt.Errorf("retire on or off, not %q", mode)}
		}
		err := ask(c.OutOrStdout(), socket, "retire", mode)
		if err != nil || *wait == 0 || mode == "off" {
			return err
		}
		addr, err := socket()
		if err != nil {
			return err
		}
		return rollingrestart.WaitFor(c.Context(), addr, *wait, rollingrestart.Members.HandedOver)
	}
	return c
}

func takeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "take PROXY on|off",
		Short: "Move a proxy to a governor by hand, or end that",
		Long: `Ask the governor that is to have the proxy. It keeps it, though the plan has another one, until 'off' or
its restart; when it dies the others take the proxy as any.`,
		Args: positionalArgs(cobra.ExactArgs(2)),
	}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return ask(c.OutOrStdout(), socket, "take", args[0], args[1])
	}
	return c
}

func planCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Print which governor should serve which proxy, from settings, offline",
		Args:  positionalArgs(cobra.ExactArgs(1)),
	}
	without := c.Flags().StringSlice("without", nil,
		"governors that are left out: the plan then, and how many proxies move")
	with := c.Flags().StringSlice("with", nil, "governors that are added: the same")
	c.RunE = func(c *cobra.Command, args []string) error {
		settings, err := config.Load(args[0])
		if err != nil {
			return err
		}
		configured := settings.Sharing.Controllers
		if len(configured) == 0 {
			return fmt.Errorf("%s: sharing.governors names nobody", args[0])
		}
		planned, err := plannedControllers(configured, *without, *with)
		if err != nil {
			return err
		}
		printPlan(c.OutOrStdout(), settings.ProxyLoads(), configured, planned)
		return nil
	}
	return c
}

// plannedControllers returns the configured controllers with some left out and some added.
func plannedControllers(configured, without, with []string) ([]string, error) {
	for _, name := range without {
		if !slices.Contains(configured, name) {
			return nil, usageError{fmt.Errorf("--without: %q is none of %s", name, strings.Join(configured, ", "))}
		}
	}
	planned := append(slices.Clone(configured), with...)
	planned = slices.DeleteFunc(planned, func(name string) bool { return slices.Contains(without, name) })
	if len(planned) == 0 {
		return nil, usageError{errors.New("nobody is left")}
	}
	return planned, nil
}

// printPlan prints the controllers of each proxy in the order in which they take over, the load of each controller,
// and how many proxies move from the configured plan.
func printPlan(out io.Writer, shares []lease.ProxyLoad, configured, planned []string) {
	before := lease.Plan(shares, configured)
	after := lease.Plan(shares, planned)
	requestRates := map[string]float64{}
	proxies := map[string]int{}
	moved := 0
	for _, share := range shares {
		controller := after[share.Proxy][0]
		proxies[controller]++
		requestRates[controller] += share.RequestRate
		if before[share.Proxy][0] != controller {
			moved++
		}
		printf(out, "%s %s\n", share.Proxy, strings.Join(after[share.Proxy], " "))
	}
	for _, controller := range planned {
		printf(out, "# %s: %d proxies, %.1f visits a second\n", controller, proxies[controller], requestRates[controller])
	}
	printf(out, "# %d of %d proxies move\n", moved, len(shares))
}

func rollingCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "rolling --sockets A,B,... -- COMMAND [ARG ...]",
		Short: "Restart governors one after the other, each when that is safe",
		Long: `For each governor in turn: wait until every proxy has a governor, let this one hand its proxies on, run
the command that restarts it (CRESSKNOT_SOCKET has its socket), wait until it answers and every
proxy has a governor again. Anything that does not come to pass in time ends it there, with the
governor that it stopped at named.`,
		Args: positionalArgs(cobra.MinimumNArgs(1)),
	}
	sockets := c.Flags().StringSlice("sockets", nil,
		"operators' sockets of the governors, in the order of their restarts")
	timeout := c.Flags().Duration("within", time.Minute, "longest wait for each step")
	c.RunE = func(c *cobra.Command, command []string) error {
		if len(*sockets) == 0 {
			return usageError{errors.New("rolling needs --sockets")}
		}
		return rollingrestart.Restart(c.Context(), *sockets, *timeout, func(ctx context.Context, socket string) error {
			return runRestart(ctx, c.OutOrStdout(), command, socket)
		})
	}
	return c
}

// runRestart runs the command that restarts one controller.
func runRestart(ctx context.Context, out io.Writer, command []string, socket string) error {
	run := exec.CommandContext(ctx, command[0], command[1:]...)
	run.Env = append(os.Environ(), socketVariable+"="+socket)
	run.Stdout = out
	run.Stderr = os.Stderr
	if err := run.Run(); err != nil {
		return fmt.Errorf("%s: %w", command[0], err)
	}
	printLine(out, socket+": restarted")
	return nil
}
