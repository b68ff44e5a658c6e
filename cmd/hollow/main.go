// Command hollow measures how the relay's costs grow with size: it plays experiments with real relays and with
// hollow ones behind a stand-in discovery, and makes slopes of the results.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"troutusher/internal/rig/experiment"
	"troutusher/internal/rig/registry"
	"troutusher/internal/rig/report"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type cli struct {
	Run      runCmd      `cmd:"" help:"Play an experiment and write its result as JSON."`
	Report   reportCmd   `cmd:"" help:"Print the slopes of results as a table and draw them."`
	Registry registryCmd `cmd:"" help:"Serve the stand-in discovery alone."`
	Kinds    kindsCmd    `cmd:"" help:"List the kinds of experiment."`
}

// errUsage is a fault of flags or files, not of a run.
type usageError struct{ error }

type runCmd struct {
	File  string  `arg:"" help:"The experiment, as TOML."`
	Seed  *uint64 `help:"Instead of the file's."`
	Sizes []int   `help:"Instead of the file's."`
	Turns *int    `help:"Instead of the file's."`
	Relay string  `help:"The relay's binary, instead of the file's."`
	Out   string  `help:"Directory of the result." default:"found/hollow"`
}

func (c *runCmd) Run(ctx context.Context, log *slog.Logger) error {
	exp, err := experiment.ReadFile(c.File)
	if err != nil {
		return usageError{err}
	}
	if c.Seed != nil {
		exp.Seed = *c.Seed
	}
	if len(c.Sizes) > 0 {
		if slices.Min(c.Sizes) < 1 {
			return usageError{fmt.Errorf("--sizes: want 1 or more")}
		}
		exp.Sizes = c.Sizes
	}
	if c.Turns != nil {
		exp.Turns = *c.Turns
	}
	if c.Relay != "" {
		exp.Relay.Program = c.Relay
	}
	result, err := experiment.Run(ctx, exp, log)
	if result != nil {
		path, writeErr := result.Write(c.Out)
		if writeErr != nil {
			return writeErr
		}
		fmt.Println(path)
	}
	return err
}

type reportCmd struct {
	Dirs   []string `arg:"" help:"Directories of results."`
	Plots  string   `help:"Directory to draw into; none draws nothing."`
	Format string   `help:"Of the plots." enum:"png,svg" default:"svg"`
	Only   []string `help:"Experiments, by name; none means all."`
}

func (c *reportCmd) Run() error {
	results, err := experiment.ReadResults(c.Dirs...)
	if err != nil {
		return usageError{err}
	}
	results = slices.DeleteFunc(results, func(r *experiment.Result) bool {
		return len(c.Only) > 0 && !slices.Contains(c.Only, r.Experiment.Name)
	})
	series := report.Collect(results)
	if err := report.Table(os.Stdout, series); err != nil || c.Plots == "" {
		return err
	}
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return err
	}
	for _, s := range series {
		if _, err := report.Plot(s, c.Plots, c.Format); err != nil {
			return err
		}
	}
	return nil
}

type registryCmd struct {
	Listen       string        `help:"Address." default:"127.0.0.1:8500"`
	Destinations int           `help:"How many are listed." default:"1000"`
	Endpoints    int           `help:"Of each." default:"2"`
	Seed         uint64        `help:"Of the list." default:"1"`
	Shuffled     bool          `help:"List them in a drawn order."`
	At           string        `help:"Address of all endpoints; none means made-up ones."`
	ChangeEvery  time.Duration `help:"An endpoint is replaced so often; 0 for never."`
	Fault        string        `help:"What is wrong with it." default:"none"`
}

func (c *registryCmd) Run(ctx context.Context, log *slog.Logger) error {
	spec := registry.Spec{Destinations: c.Destinations, Endpoints: c.Endpoints, Seed: c.Seed, Shuffled: c.Shuffled}
	if c.At != "" {
		spec.Addr = func(int, int) string { return c.At }
	}
	fault, err := registry.FaultNamed(c.Fault)
	if err != nil {
		return usageError{fmt.Errorf("--fault: %w", err)}
	}
	catalog, err := registry.NewCatalog(spec)
	if err != nil {
		return usageError{fmt.Errorf("--%w", err)}
	}
	reg := registry.New(catalog)
	defer reg.Close()
	agent, err := reg.NewAgent(c.Listen)
	if err != nil {
		return err
	}
	if err := agent.Set(registry.Condition{Fault: fault}); err != nil {
		return err
	}
	log.Info("serving", "addr", agent.Addr(), "destinations", c.Destinations)
	var change <-chan time.Time
	if c.ChangeEvery > 0 {
		change = time.Tick(c.ChangeEvery)
	}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			log.Info("served", "counts", reg.Total(0))
			return nil
		case <-change:
			catalog.Replace(i % catalog.Len())
		}
	}
}

type kindsCmd struct{}

func (kindsCmd) Run() error {
	for _, k := range experiment.KindNames() {
		fmt.Printf("%-12s %s\n", k, experiment.Kinds[k])
	}
	return nil
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	level := slog.LevelInfo
	if file, ok := stderr.(*os.File); !ok || !isTerminal(file) { // progress is for those who look on
		level = slog.LevelWarn
	}
	log := slog.New(slog.NewJSONHandler(stderr, &slog.HandlerOptions{Level: level}))
	var flags cli
	parser, err := kong.New(&flags, kong.Name("hollow"), kong.Writers(stdout, stderr), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(log),
		kong.Description("Measures how the relay's costs grow with size."))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	command, err := parser.Parse(args)
	if err == nil {
		err = command.Run()
	} else {
		err = usageError{err}
	}
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "hollow: "+strings.ReplaceAll(err.Error(), "\n", ": "))
	if errors.As(err, &usageError{}) {
		return exitUsage
	}
	return exitFailed
}

// terminal reports whether a file is one.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
