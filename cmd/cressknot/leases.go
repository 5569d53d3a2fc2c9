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

// socketVariable is the environment variable that gives the restart command of "rolling" the operators' socket of the
// controller to restart.
const socketVariable = "CRESSKNOT_SOCKET"

func retireCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "retire on|off",
		Short: "Hand over all proxies to other controllers, or serve proxies again",
		Long: `With 'on', hand over all proxies of a controller to the controllers that share them, a limited number
each second. The controller keeps running, but only serves proxies that no other controller serves.
'show members' reports the progress. With 'off', the controller serves its planned proxies again.`,
		Args: positionalArgs(cobra.ExactArgs(1)),
	}
	wait := c.Flags().Duration("wait", 0,
		"with on: time limit for the controller to hand over all proxies; exit code 1 after it (0: no wait)")
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		mode := args[0]
		if mode != "on" && mode != "off" {
			return usageError{fmt.Errorf("retire: mode %q is not on or off", mode)}
		}
		err := sendCommand(c.OutOrStdout(), socket, "retire", mode)
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
		Short: "Assign a proxy to a controller by hand, or end the assignment",
		Long: `Send this to the operators' socket of the controller that is to serve the proxy. The assignment overrides
the plan until 'off' or the controller's restart. If the controller fails, another one takes over the
proxy as usual.`,
		Args: positionalArgs(cobra.ExactArgs(2)),
	}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return sendCommand(c.OutOrStdout(), socket, "take", args[0], args[1])
	}
	return c
}

func planCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Print the planned controllers of each proxy for a settings file, offline",
		Args:  positionalArgs(cobra.ExactArgs(1)),
	}
	without := c.Flags().StringSlice("without", nil,
		"controllers to leave out of the plan; prints how many proxies move")
	with := c.Flags().StringSlice("with", nil, "controllers to add to the plan; prints how many proxies move")
	c.RunE = func(c *cobra.Command, args []string) error {
		settings, err := config.Load(args[0])
		if err != nil {
			return err
		}
		configured := settings.Sharing.Controllers
		if len(configured) == 0 {
			return fmt.Errorf("%s: sharing.governors: is empty; expected the names of the controllers", args[0])
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

// plannedControllers returns the configured controllers minus those in without, plus those in with. A name in without
// that is not configured, and an empty result, are usage errors.
func plannedControllers(configured, without, with []string) ([]string, error) {
	for _, name := range without {
		if !slices.Contains(configured, name) {
			return nil, usageError{fmt.Errorf("--without: unknown controller %q, expected one of %s",
				name, strings.Join(configured, ", "))}
		}
	}
	planned := append(slices.Clone(configured), with...)
	planned = slices.DeleteFunc(planned, func(name string) bool { return slices.Contains(without, name) })
	if len(planned) == 0 {
		return nil, usageError{errors.New("--without: no controller is left")}
	}
	return planned, nil
}

// printPlan prints the controllers of each proxy in order of preference, the load of each controller, and how many
// proxies have another preferred controller than with the configured ones.
func printPlan(out io.Writer, proxyLoads []lease.ProxyLoad, configured, planned []string) {
	before := lease.Plan(proxyLoads, configured)
	after := lease.Plan(proxyLoads, planned)
	requestRates := map[string]float64{}
	proxyCounts := map[string]int{}
	moved := 0
	for _, load := range proxyLoads {
		controller := after[load.Proxy][0]
		proxyCounts[controller]++
		requestRates[controller] += load.RequestRate
		if before[load.Proxy][0] != controller {
			moved++
		}
		printf(out, "%s %s\n", load.Proxy, strings.Join(after[load.Proxy], " "))
	}
	for _, controller := range planned {
		printf(out, "# %s: %d proxies, %.1f requests per second\n",
			controller, proxyCounts[controller], requestRates[controller])
	}
	printf(out, "# %d of %d proxies move\n", moved, len(proxyLoads))
}

func rollingCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "rolling --sockets A,B,... -- COMMAND [ARG ...]",
		Short: "Restart controllers one after the other, each after handing over its proxies",
		Long: `For each controller in turn: wait until every proxy has a controller, make this controller hand over its
proxies, run the command that restarts it (the environment variable CRESSKNOT_SOCKET holds its operators'
socket), then wait until it answers and every proxy has a controller again. The first step that fails or
exceeds --within ends the command with an error that names the controller's socket.`,
		Args: positionalArgs(cobra.MinimumNArgs(1)),
	}
	sockets := c.Flags().StringSlice("sockets", nil,
		"operators' sockets of the controllers, in restart order")
	timeout := c.Flags().Duration("within", time.Minute, "time limit of each step")
	c.RunE = func(c *cobra.Command, command []string) error {
		if len(*sockets) == 0 {
			return usageError{errors.New("rolling requires --sockets")}
		}
		return rollingrestart.Restart(c.Context(), *sockets, *timeout, func(ctx context.Context, socket string) error {
			return runRestart(ctx, c.OutOrStdout(), command, socket)
		})
	}
	return c
}

// runRestart runs the command that restarts the controller at an operators' socket.
func runRestart(ctx context.Context, out io.Writer, command []string, socket string) error {
	run := exec.CommandContext(ctx, command[0], command[1:]...)
	run.Env = append(os.Environ(), socketVariable+"="+socket)
	run.Stdout = out
	run.Stderr = os.Stderr
	if err := run.Run(); err != nil {
		return fmt.Errorf("restart command %s: %w", command[0], err)
	}
	printLine(out, socket+": restarted")
	return nil
}
