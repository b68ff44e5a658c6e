// Command hollow measures how the relay's costs grow with size. It runs experiments with relay processes and with
// simulated ("hollow") relays, which use a stand-in for service discovery, and fits slopes to the results.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"troutusher/internal/rig/experiment"
	"troutusher/internal/rig/peers"
	"troutusher/internal/rig/registry"
	"troutusher/internal/rig/report"
)

// Exit codes of failures.
const (
	exitFailed = 1
	exitUsage  = 2
)

// cli is the command line. kong takes the names of commands and flags from the names of the fields, here and in the
// structs of the commands.
type cli struct {
	Run      runCmd      `cmd:"" help:"Run an experiment and write its result as JSON."`
	Report   reportCmd   `cmd:"" help:"Print the slopes of results as a table, and draw plots of them."`
	Registry registryCmd `cmd:"" help:"Run only the stand-in for service discovery."`
	Kinds    kindsCmd    `cmd:"" help:"List the kinds of experiment."`
	Peers    peersCmd    `cmd:"" help:"Measure how a relay serves clients beside peers that misbehave."`
}

// usageError is an error in flags or files, as opposed to one of a run.
type usageError struct{ error }

// runCmd is the command "run".
type runCmd struct {
	File  string  `arg:"" help:"The experiment, a TOML file."`
	Seed  *uint64 `help:"Seed, instead of the one in the file."`
	Sizes []int   `help:"Sizes, instead of those in the file."`
	Turns *int    `help:"Repetitions of each size, instead of the number in the file."`
	Relay string  `help:"Path of the relay's binary, instead of the one in the file."`
	Out   string  `help:"Directory for the result." default:"found/hollow"`
}

// Run runs the experiment, and writes a result even if the run fails half way.
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

// reportCmd is the command "report".
type reportCmd struct {
	Dirs   []string `arg:"" help:"Directories with results."`
	Plots  string   `help:"Directory for the plots; without it none are drawn."`
	Format string   `help:"Format of the plots." enum:"png,svg" default:"svg"`
	Only   []string `help:"Names of the experiments to report; without it all are."`
}

// Run prints the table and draws the plots.
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

// registryCmd is the command "registry".
type registryCmd struct {
	Listen       string        `help:"Address to listen on." default:"127.0.0.1:8500"`
	Destinations int           `help:"Number of destinations in the list." default:"1000"`
	Endpoints    int           `help:"Endpoints of each destination." default:"2"`
	Seed         uint64        `help:"Seed of the list." default:"1"`
	Shuffled     bool          `help:"List the endpoints in a shuffled order."`
	At           string        `help:"Address of all endpoints; without it each gets a generated one."`
	ChangeEvery  time.Duration `help:"Interval at which an endpoint is replaced; 0 for never."`
	Fault        string        `help:"Fault between relays and discovery." default:"none"`
}

// Run serves the list until ctx ends, and then logs the counts of requests.
func (c *registryCmd) Run(ctx context.Context, log *slog.Logger) error {
	spec := registry.Spec{Destinations: c.Destinations, Endpoints: c.Endpoints, Seed: c.Seed, Shuffled: c.Shuffled}
	if c.At != "" {
		spec.Addr = func(int, int) string { return c.At }
	}
	fault, err := registry.ParseFault(c.Fault)
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
	if err := agent.SetCondition(registry.Condition{Fault: fault}); err != nil {
		return err
	}
	log.Info("registry listening", "addr", agent.Addr(), "destinations", c.Destinations)
	var change <-chan time.Time
	if c.ChangeEvery > 0 {
		change = time.Tick(c.ChangeEvery)
	}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			log.Info("registry stopped", "counts", reg.Total(0))
			return nil
		case <-change:
			catalog.Replace(i % catalog.Len())
		}
	}
}

// kindsCmd is the command "kinds".
type kindsCmd struct{}

// Run prints each kind with its description.
func (kindsCmd) Run() error {
	for _, k := range experiment.KindNames() {
		fmt.Printf("%-12s %s\n", k, experiment.Kinds[k])
	}
	return nil
}

// peersCmd is the command "peers".
type peersCmd struct {
	Behavior    []string      `arg:"" optional:"" help:"Behaviors of the peers; without any all are listed."`
	Relay       string        `help:"Path of the relay's binary." default:"bin/troutusher"`
	Peers       int           `help:"Connections of the peers; 0 for the default of the behavior."`
	MemoryMB    int           `name:"memory-mb" help:"Memory limit of the relay." default:"64"`
	Sockets     int           `help:"Descriptor limit of the relay." default:"1024"`
	DiskMB      int           `name:"disk-mb" help:"Disk limit of the relay." default:"3"`
	Serve       time.Duration `help:"Time that the partner takes for a call." default:"100ms"`
	For         time.Duration `help:"Time for which the peers come, at most 10m." default:"10s"`
	ReturnAfter time.Duration `help:"Pause after which a peer connects again." default:"100ms"`
	RelayLog    string        `help:"File for the relay's log."`
}

const (
	longestPeersRun = 10 * time.Minute
	peersLeadTime   = time.Second
	peersRestTime   = 2 * time.Second
)

// Run plays each behavior and prints a line of JSON for it.
func (c *peersCmd) Run(ctx context.Context, log *slog.Logger) error {
	if len(c.Behavior) == 0 {
		for _, name := range slices.Sorted(maps.Keys(peers.Behaviors)) {
			fmt.Printf("%-18s %s\n", name, peers.Behaviors[name].Description)
		}
		return nil
	}
	if c.For <= 0 || c.For > longestPeersRun {
		return usageError{fmt.Errorf("--for: %v, want above 0 and at most %v", c.For, longestPeersRun)}
	}
	for _, name := range c.Behavior {
		if _, ok := peers.Behaviors[name]; !ok {
			return usageError{fmt.Errorf("behavior: %q is unknown", name)}
		}
	}
	for _, name := range c.Behavior {
		result, err := peers.Run(ctx, peers.Scenario{Behavior: name, Program: c.Relay, Peers: c.Peers,
			MemoryMB: c.MemoryMB, Sockets: c.Sockets, DiskMB: c.DiskMB, ServeTime: c.Serve, Lead: peersLeadTime, For: c.For, Rest: peersRestTime,
			ReturnAfter: c.ReturnAfter, LogPath: c.RelayLog}, log)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return err
		}
	}
	return nil
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run parses the arguments, runs the command and returns the exit code. An error is printed as a single line.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	level := slog.LevelInfo
	if file, ok := stderr.(*os.File); !ok || !isTerminal(file) { // progress is logged to a terminal only
		level = slog.LevelWarn
	}
	log := slog.New(slog.NewJSONHandler(stderr, &slog.HandlerOptions{Level: level}))
	var flags cli
	parser, err := kong.New(&flags, kong.Name("hollow"), kong.Writers(stdout, stderr),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(log),
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

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
