// Command faultdrill runs fault scenarios: simulated servers, proxies, callers and list service on loopback, with each
// controller as a real, separate process. The invariants are checked by the traffic on the simulated parts' sockets.
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

// defaultScenario is the name of the scenario that is run if no argument is given.
const defaultScenario = "default"

var errRunFailed = errors.New("an invariant was violated or the scenario did not run as planned; see the report")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// flags holds the values of the root command's flags. Zero and empty values leave the scenario unchanged.
type flags struct {
	json         bool
	quiet        bool
	recordEvents bool
	noGuard      bool
	outputDir    string
	transport    string
	nodes        int
	proxies      int
	controllers  int
	requestRate  float64
}

func rootCommand() *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:   "drill [DAY]",
		Short: "Run a fault scenario with real controllers and check the invariants",
		Long: `Run a scenario (DAY): a scenario file or a built-in one of these:
` + strings.Join(scenario.Names(), ", ") + `

The simulated parts and the controllers run on loopback only and stop when the scenario ends. The exit code
is 1 if an invariant was violated or the scenario did not run as planned.`,
		Args:          cobra.MaximumNArgs(1),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(c *cobra.Command, args []string) error {
			name := defaultScenario
			if len(args) > 0 {
				name = args[0]
			}
			return f.run(c.Context(), c.OutOrStdout(), name)
		},
	}
	f.register(c)
	c.AddCommand(controllerCommand())
	return c
}

// controllerCommand returns the hidden command that runs one controller. The program starts itself with this command to
// get each controller as a separate process.
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
	set.BoolVarP(&f.quiet, "quiet", "q", false, "print no progress line")
	set.BoolVar(&f.recordEvents, "records", false, "make the controllers record events and orders, for 'cressknot replay'")
	set.BoolVar(&f.noGuard, "no-guard", false,
		"disable the controllers' guard, to see the harmful tables that it prevents")
	set.StringVar(&f.outputDir, "keep", "", "folder in which to keep settings, logs and records (default: none are kept)")
	set.StringVar(&f.transport, "front", "", "override the proxies' transport: runtime or files")
	set.IntVar(&f.nodes, "nodes", 0, "override the number of servers")
	set.IntVar(&f.proxies, "proxies", 0, "override the number of proxies")
	set.IntVar(&f.controllers, "governors", 0, "override the number of controllers")
	set.Float64Var(&f.requestRate, "visits", 0, "override the request rate, in requests per second")
}

// run runs a scenario and prints its report. It returns errRunFailed if the report says so.
func (f *flags) run(ctx context.Context, out io.Writer, name string) error {
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
		Spec:         spec,
		OutputDir:    f.outputDir,
		RecordEvents: f.recordEvents,
		Launch:       func(config string) *exec.Cmd { return exec.Command(self, "governor", config) },
	}
	if !f.quiet {
		options.Progress = os.Stderr
	}
	report, err := scenario.Run(ctx, options)
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
		return errRunFailed
	}
	return nil
}

// override applies the flags to the scenario. The guard can only be switched off.
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
