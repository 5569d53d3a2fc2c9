package main

import (
	"context"
	"errors"
	"fmt"
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

// Commands about governors that share proxies.

func retireCommand() *cobra.Command {
	c := &cobra.Command{Use: "retire on|off", Short: "Hand all proxies on to other governors, or take part again",
		Long: `Hand all proxies of a governor on to those that it shares them with, some each second; it goes on
running and takes only what nobody else does. 'show members' tells how far that is.`,
		Args: args(cobra.ExactArgs(1))}
	wait := c.Flags().Duration("wait", 0, "with on: wait so long until it holds no proxy; exit code 1 if it still does")
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, a []string) error {
		if a[0] != "on" && a[0] != "off" {
			return usage{fmt.Errorf("retire on or off, not %q", a[0])}
		}
		if err := ask(c.OutOrStdout(), socket, "retire", a[0]); err != nil || *wait == 0 || a[0] == "off" {
			return err
		}
		path, err := socket()
		if err != nil {
			return err
		}
		return rollingrestart.Until(c.Context(), path, *wait, rollingrestart.Members.HandedOn)
	}
	return c
}

func takeCommand() *cobra.Command {
	c := &cobra.Command{Use: "take PROXY on|off", Short: "Move a proxy to a governor by hand, or end that",
		Long: `Ask the governor that is to have the proxy. It keeps it, though the plan has another one, until 'off' or
its restart; when it dies the others take the proxy as any.`,
		Args: args(cobra.ExactArgs(2))}
	socket := socketFlag(c)
	c.RunE = func(c *cobra.Command, a []string) error {
		return ask(c.OutOrStdout(), socket, "take", a[0], a[1])
	}
	return c
}

func planCommand() *cobra.Command {
	c := &cobra.Command{Use: "plan FILE", Short: "Print which governor should serve which proxy, from settings, offline",
		Args: args(cobra.ExactArgs(1))}
	without := c.Flags().StringSlice("without", nil, "governors that are left out: the plan then, and how many proxies move")
	with := c.Flags().StringSlice("with", nil, "governors that are added: the same")
	c.RunE = func(c *cobra.Command, a []string) error {
		s, err := config.Load(a[0])
		if err != nil {
			return err
		}
		if len(s.Sharing.Governors) == 0 {
			return fmt.Errorf("%s: sharing.governors names nobody", a[0])
		}
		for _, g := range *without {
			if !slices.Contains(s.Sharing.Governors, g) {
				return usage{fmt.Errorf("--without: %q is none of %s", g, strings.Join(s.Sharing.Governors, ", "))}
			}
		}
		governors := slices.DeleteFunc(append(slices.Clone(s.Sharing.Governors), *with...), func(g string) bool { return slices.Contains(*without, g) })
		if len(governors) == 0 {
			return usage{errors.New("nobody is left")}
		}
		shares := s.Shares()
		before, after := lease.Plan(shares, s.Sharing.Governors), lease.Plan(shares, governors)
		visits, proxies, moved := map[string]float64{}, map[string]int{}, 0
		for _, p := range shares {
			g := after[p.Proxy][0]
			proxies[g]++
			visits[g] += p.RequestRate
			if before[p.Proxy][0] != g {
				moved++
			}
			printf(c.OutOrStdout(), "%s %s\n", p.Proxy, strings.Join(after[p.Proxy], " "))
		}
		for _, g := range governors {
			printf(c.OutOrStdout(), "# %s: %d proxies, %.1f visits a second\n", g, proxies[g], visits[g])
		}
		printf(c.OutOrStdout(), "# %d of %d proxies move\n", moved, len(shares))
		return nil
	}
	return c
}

func rollingCommand() *cobra.Command {
	c := &cobra.Command{Use: "rolling --sockets A,B,... -- COMMAND [ARG ...]", Short: "Restart governors one after the other, each when that is safe",
		Long: `For each governor in turn: wait until every proxy has a governor, let this one hand its proxies on, run
the command that restarts it (CRESSKNOT_SOCKET has its socket), wait until it answers and every
proxy has a governor again. Anything that does not come to pass in time ends it there, with the
governor that it stopped at named.`,
		Args: args(cobra.MinimumNArgs(1))}
	sockets := c.Flags().StringSlice("sockets", nil, "operators' sockets of the governors, in the order of their restarts")
	within := c.Flags().Duration("within", time.Minute, "longest wait for each step")
	c.RunE = func(c *cobra.Command, command []string) error {
		if len(*sockets) == 0 {
			return usage{errors.New("rolling needs --sockets")}
		}
		return rollingrestart.Restart(c.Context(), *sockets, *within, func(ctx context.Context, socket string) error {
			run := exec.CommandContext(ctx, command[0], command[1:]...)
			run.Env = append(os.Environ(), "CRESSKNOT_SOCKET="+socket)
			run.Stdout, run.Stderr = c.OutOrStdout(), os.Stderr
			if err := run.Run(); err != nil {
				return fmt.Errorf("%s: %w", command[0], err)
			}
			printLine(c.OutOrStdout(), socket+": restarted")
			return nil
		})
	}
	return c
}
