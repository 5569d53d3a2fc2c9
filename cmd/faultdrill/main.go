// Drill plays a scripted bad day: stand-in nodes, proxies, callers and list service on loopback, real governors as
// processes of their own, and the five rules judged from what passed on the sockets.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"

	"github.com/spf13/cobra"

	"cressknot/internal/server"
	"cressknot/internal/testing/scenario"
)

var errBroken = errors.New("a rule broke")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var asJSON, quiet, records, noGuard bool
	var keep, front string
	var nodes, proxies, governors int
	var visits float64
	c := &cobra.Command{
		Use:   "drill [DAY]",
		Short: "Play a scripted bad day through real governors and judge the rules",
		Long: `Play a day: one that the program holds (` + strings.Join(scenario.Days(), ", ") + `) or a day file.
Stand-ins and governors run on loopback only and end with the day. Exit code 1 when a rule broke.`,
		Args: cobra.MaximumNArgs(1), SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, args []string) error {
			name := "default"
			if len(args) > 0 {
				name = args[0]
			}
			day, err := scenario.Load(name)
			if err != nil {
				return err
			}
			for _, set := range []struct {
				to   *int
				from int
			}{{&day.Nodes, nodes}, {&day.Proxies, proxies}, {&day.Governors, governors}} {
				if set.from > 0 {
					*set.to = set.from
				}
			}
			if visits > 0 {
				day.Visits = visits
			}
			if front != "" {
				day.Front = front
			}
			day.Guard = day.Guard && !noGuard
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o := scenario.Options{Day: day, Keep: keep, Records: records,
				Launch: func(config string) *exec.Cmd { return exec.Command(self, "governor", config) }}
			if !quiet {
				o.Progress = os.Stderr
			}
			r, err := scenario.Play(c.Context(), o)
			if !quiet {
				fmt.Fprintln(os.Stderr)
			}
			if err != nil {
				return err
			}
			if asJSON {
				enc := json.NewEncoder(c.OutOrStdout())
				enc.SetIndent("", " ")
				if err := enc.Encode(r); err != nil {
					return err
				}
			} else {
				r.Print(c.OutOrStdout())
			}
			if !r.Kept() {
				return errBroken
			}
			return nil
		},
	}
	f := c.Flags()
	f.BoolVar(&asJSON, "json", false, "print the report as JSON")
	f.BoolVarP(&quiet, "quiet", "q", false, "no progress line")
	f.BoolVar(&records, "records", false, "let governors record events and orders, for replay")
	f.BoolVar(&noGuard, "no-guard", false, "governors go without their guard, to see what it keeps away")
	f.StringVar(&keep, "keep", "", "folder that keeps settings, logs and records")
	f.StringVar(&front, "front", "", "runtime or files, in place of the day's")
	f.IntVar(&nodes, "nodes", 0, "nodes, in place of the day's")
	f.IntVar(&proxies, "proxies", 0, "proxies, in place of the day's")
	f.IntVar(&governors, "governors", 0, "governors, in place of the day's")
	f.Float64Var(&visits, "visits", 0, "visits a second, in place of the day's")
	c.AddCommand(&cobra.Command{Use: "governor CONFIG", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, a []string) error { return server.RunController(a[0]) }})
	return c
}
