// Command faultdrill plays fault scenarios: simulated nodes, proxies, callers and list service on loopback, real
// controllers as processes of their own, and the invariants judged from what passed on the sockets.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strings"

	"github.com/spf13/cobra"

	"cressknot/internal/server"
	"cressknot/internal/testing/scenario"
)

// defaultScenario is played if none is named.
const defaultScenario = "default"

var errInvariantBroken = errors.New("a rule broke")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// flags are the flags of the root command.
type flags struct {
	json        bool
	quiet       bool
	records     bool
	noGuard     bool
	keep        string
	transport   string
	nodes       int
	proxies     int
	controllers int
	requestRate float64
}

func rootCommand() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:   "drill [DAY]",
		Short: "Play a scripted bad day through real governors and judge the rules",
		Long: `Play a day: one that the program holds (` + strings.Join(scenario.Names(), ", ") + `) or a day file.
Stand-ins and governors run on loopback only and end with the day. Exit code 1 when a rule broke.`,
		Args:          cobra.MaximumNArgs(1),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(c *cobra.Command, args []string) error {
			name := defaultScenario
			if len(args) > 0 {
				name = args[0]
			}
			return f.play(c.Context(), c.OutOrStdout(), name)
		},
	}
	f.register(c)
	c.AddCommand(controllerCommand())
	return c
}

// controllerCommand runs a controller; the program starts itself with it.
func controllerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "governor CONFIG",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE:   func(_ *cobra.Command, args []string) error { return server.RunController(args[0]) },
	}
}

func (f *flags) register(c *cobra.Command) {
	set := c.Flags()
	set.BoolVar(&f.json, "json", false, "print the report as JSON")
	set.BoolVarP(&f.quiet, "quiet", "q", false, "no progress line")
	set.BoolVar(&f.records, "records", false, "let governors record events and orders, for replay")
	set.BoolVar(&f.noGuard, "no-guard", false, "governors go without their guard, to see what it keeps away")
	set.StringVar(&f.keep, "keep", "", "folder that keeps settings, logs and records")
	set.StringVar(&f.transport, "front", "", "runtime or files, in place of the day's")
	set.IntVar(&f.nodes, "nodes", 0, "nodes, in place of the day's")
	set.IntVar(&f.proxies, "proxies", 0, "proxies, in place of the day's")
	set.IntVar(&f.controllers, "governors", 0, "governors, in place of the day's")
	set.Float64Var(&f.requestRate, "visits", 0, "visits a second, in place of the day's")
}

// play plays a scenario and prints its report.
func (f *flags) play(ctx context.Context, out io.Writer, name string) error {
	spec, err := scenario.Load(name)
	if err != nil {
		return err
	}
	f.override(spec)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	options := scenario.Options{
		Spec:    spec,
		Keep:    f.keep,
		Records: f.records,
		Launch:  func(config string) *exec.Cmd { return exec.Command(self, "governor", config) },
	}
	if !f.quiet {
		options.Progress = os.Stderr
	}
	report, err := scenario.Play(ctx, options)
	if !f.quiet {
		fmt.Fprintln(os.Stderr)
	}
	if err != nil {
		return err
	}
	if err := f.print(out, report); err != nil {
		return err
	}
	if !report.Passed() {
		return errInvariantBroken
	}
	return nil
}

// override replaces settings of the scenario by those of the flags.
func (f *flags) override(spec *scenario.Spec) {
	if f.nodes > 0 {
		spec.Nodes = f.nodes
	}
	if f.proxies > 0 {
		spec.Proxies = f.proxies
	}
	if f.controllers > 0 {
		spec.Controllers = f.controllers
	}
	if f.requestRate > 0 {
		spec.RequestRate = f.requestRate
	}
	if f.transport != "" {
		spec.Transport = f.transport
	}
	spec.Guard = spec.Guard && !f.noGuard
}

func (f *flags) print(out io.Writer, report *scenario.Report) error {
	if !f.json {
		report.Print(out)
		return nil
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(report)
}
