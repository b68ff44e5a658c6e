// Package experiment reads an experiment from a TOML file, runs it within limits of time, memory and processes, and
// writes one result as JSON.
package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Experiment describes a measurement: costs of the relay, or of one part of it, against a size that grows.
type Experiment struct {
	Name  string  `toml:"name" json:"name"`
	Kind  string  `toml:"kind" json:"kind"`   // one of Kinds; decides what is measured and what the size counts
	Sizes []int   `toml:"sizes" json:"sizes"` // sizes to measure
	Unit  string  `toml:"unit" json:"unit"`   // what the size counts, in the singular
	Goal  float64 `toml:"goal" json:"goal"`   // size to which the report extrapolates the fit; 0 for none
	Turns int     `toml:"turns" json:"turns"` // repetitions of each size
	Seed  uint64  `toml:"seed" json:"seed"`

	Limits  Limits  `toml:"limits" json:"limits"`
	Relay   Relay   `toml:"relay" json:"relay"`
	Load    Load    `toml:"load" json:"load"`
	Fleet   Fleet   `toml:"fleet" json:"fleet"`
	History History `toml:"history" json:"history"`
}

// Limits are the limits of a run. A run that exceeds one is ended with an error.
type Limits struct {
	Seconds   int `toml:"seconds" json:"seconds"`
	MemoryMB  int `toml:"memory_mb" json:"memory_mb"` // resident memory of rig and relays; at most half the machine
	Processes int `toml:"processes" json:"processes"` // relay processes at the same time
}

// Relay configures relay processes and the policy of hollow relays.
type Relay struct {
	Program      string `toml:"program" json:"program"`
	Destinations int    `toml:"destinations" json:"destinations"` // listed, where the size counts something else
	Shuffled     bool   `toml:"shuffled" json:"shuffled"`
	MemoryMB     int    `toml:"memory_mb" json:"memory_mb"`
	Sockets      int    `toml:"sockets" json:"sockets"`
	DiskMB       int    `toml:"disk_mb" json:"disk_mb"`
	MaxHeld      int    `toml:"most_held" json:"most_held"` // messages that the relay holds at most
	Relays       int    `toml:"relays" json:"relays"`       // size of the fleet according to the relay's settings
}

// Load is the work that relay processes are given.
type Load struct {
	Messages    int `toml:"messages" json:"messages"`
	Connections int `toml:"conns" json:"conns"`
	DeadlineMS  int `toml:"deadline_ms" json:"deadline_ms"`
	BodyBytes   int `toml:"body_bytes" json:"body_bytes"`
	Changes     int `toml:"changes" json:"changes"`       // changes of the endpoint list
	Reloads     int `toml:"reloads" json:"reloads"`       // reloads of the configuration
	Reconnects  int `toml:"reconnects" json:"reconnects"` // reconnects of the watch
}

// Fleet describes the topology of a fleet of hollow relays and the fault that hits parts of it.
type Fleet struct {
	Zones     int     `toml:"zones" json:"zones"`
	RackSize  int     `toml:"racks" json:"racks"`       // relays in a rack
	Fault     string  `toml:"fault" json:"fault"`       // fault between relays and discovery, or "restart" of the relays
	KnownList bool    `toml:"known" json:"known"`       // restarted relays begin with the last full list that they had
	DownS     float64 `toml:"down_s" json:"down_s"`     // duration of the fault
	IdleS     float64 `toml:"quiet_s" json:"quiet_s"`   // duration of the measurement without changes and faults
	TimeoutS  float64 `toml:"within_s" json:"within_s"` // time within which a revision is in force at all relays
}

// History describes a simulated fleet in which each relay has little traffic to any one destination, and so little
// history to tell from whether it is up.
type History struct {
	Relays          int     `toml:"relays" json:"relays"`               // relays in the whole fleet
	Simulated       int     `toml:"played" json:"played"`               // simulated relays; capacity is scaled to them
	EventsPerS      float64 `toml:"events_per_s" json:"events_per_s"`   // messages per second at one relay
	Seconds         float64 `toml:"seconds" json:"seconds"`             // simulated time
	DownShare       float64 `toml:"down_share" json:"down_share"`       // share of destinations down at any time
	DownMeanS       float64 `toml:"down_mean_s" json:"down_mean_s"`     // mean duration of an outage
	Zipf            float64 `toml:"zipf" json:"zipf"`                   // exponent of the weights; 0 for equal weights
	Headroom        float64 `toml:"headroom" json:"headroom"`           // capacity of a destination over its mean traffic
	DeadlineS       float64 `toml:"deadline_s" json:"deadline_s"`       // deadline of a message
	RoundTripMS     float64 `toml:"round_trip_ms" json:"round_trip_ms"` // mean round trip of a call
	NoReplyShare    float64 `toml:"silent_share" json:"silent_share"`   // share of outages without any response
	RetryAfterShare float64 `toml:"told_share" json:"told_share"`       // share of outages with 429 and Retry-After
	RetryAfterS     float64 `toml:"told_wait_s" json:"told_wait_s"`     // Retry-After of these responses
	MaxHeld         int     `toml:"most_held" json:"most_held"`         // messages that a relay holds at most
}

// Kinds maps each kind of experiment to a description of what it measures against which size.
var Kinds = map[string]string{}

// runFunc measures all sizes of an experiment and adds the figures to the result.
type runFunc func(ctx context.Context, exp *Experiment, result *Result, limiter *resourceLimiter,
	log *slog.Logger) error

var runFuncs = map[string]runFunc{}

// register adds a kind of experiment. It is called from init functions.
func register(kind, description string, run runFunc) {
	Kinds[kind], runFuncs[kind] = description, run
}

// KindNames returns the kinds of experiment in alphabetical order.
func KindNames() []string {
	var names []string
	for kind := range Kinds {
		names = append(names, kind)
	}
	sort.Strings(names)
	return names
}

// Parse reads an experiment from TOML, with defaults for missing keys. An error is a single line that names the key.
func Parse(text []byte) (*Experiment, error) {
	exp := &Experiment{Turns: 1, Limits: Limits{Seconds: 600, MemoryMB: 4096, Processes: 2},
		Relay: Relay{Program: "bin/troutusher", Destinations: 1000, MemoryMB: 256, Sockets: 8192, DiskMB: 1024,
			MaxHeld: 100000, Relays: 3},
		Load: Load{Messages: 1000, Connections: 8, DeadlineMS: 60000, BodyBytes: 200, Changes: 50, Reloads: 10,
			Reconnects: 5},
		Fleet: Fleet{Zones: 4, RackSize: 20, Fault: "silent", KnownList: true, DownS: 5, IdleS: 4, TimeoutS: 120},
		History: History{Relays: 3000, Simulated: 10, EventsPerS: 157, Seconds: 120, DownShare: 0.024, DownMeanS: 60,
			Headroom: 2, DeadlineS: 8, RoundTripMS: 30, NoReplyShare: 0.5, MaxHeld: 100000},
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(exp); err != nil {
		return nil, singleLineError(err)
	}
	return exp, exp.check()
}

// singleLineError turns an error of the TOML decoder into a single line with the key and its line in the file.
func singleLineError(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("line %d: %s: unknown key", row, strings.Join(first.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key != "" {
			key += ": "
		}
		return fmt.Errorf("line %d: %s%s", row, key,
			strings.ReplaceAll(strings.TrimPrefix(decodeErr.Error(), "toml: "), "\n", " "))
	}
	return errors.New(strings.ReplaceAll(err.Error(), "\n", " "))
}

// check returns an error that names the first key whose value is missing or out of range.
func (x *Experiment) check() error {
	if x.Name == "" {
		return errors.New("name: missing")
	}
	if runFuncs[x.Kind] == nil {
		return fmt.Errorf("kind: %q, want one of %s", x.Kind, strings.Join(KindNames(), ", "))
	}
	if len(x.Sizes) == 0 {
		return errors.New("sizes: missing")
	}
	if x.Unit == "" {
		return errors.New("unit: missing")
	}
	if smallest := slices.Min(x.Sizes); smallest < 1 {
		return fmt.Errorf("sizes: %d, want 1 or more", smallest)
	}
	for _, bound := range []struct {
		key    string
		v, min int
	}{{"turns", x.Turns, 1}, {"limits.seconds", x.Limits.Seconds, 1}, {"limits.memory_mb", x.Limits.MemoryMB, 64},
		{"limits.processes", x.Limits.Processes, 1}, {"relay.destinations", x.Relay.Destinations, 1},
		{"relay.memory_mb", x.Relay.MemoryMB, 1}, {"relay.sockets", x.Relay.Sockets, 64},
		{"relay.disk_mb", x.Relay.DiskMB, 1}, {"relay.most_held", x.Relay.MaxHeld, 1},
		{"relay.relays", x.Relay.Relays, 1}, {"load.messages", x.Load.Messages, 0},
		{"load.conns", x.Load.Connections, 1}, {"load.deadline_ms", x.Load.DeadlineMS, 1},
		{"load.body_bytes", x.Load.BodyBytes, 0}, {"load.changes", x.Load.Changes, 0},
		{"load.reloads", x.Load.Reloads, 0}, {"load.reconnects", x.Load.Reconnects, 0},
		{"fleet.zones", x.Fleet.Zones, 1}, {"fleet.racks", x.Fleet.RackSize, 1},
		{"history.relays", x.History.Relays, 1}, {"history.played", x.History.Simulated, 1}} {
		if bound.v < bound.min {
			return fmt.Errorf("%s: %d, want at least %d", bound.key, bound.v, bound.min)
		}
	}
	for _, bound := range []struct {
		key string
		v   float64
	}{{"goal", x.Goal}, {"fleet.down_s", x.Fleet.DownS}, {"fleet.quiet_s", x.Fleet.IdleS},
		{"fleet.within_s", x.Fleet.TimeoutS}, {"history.events_per_s", x.History.EventsPerS},
		{"history.seconds", x.History.Seconds}, {"history.down_share", x.History.DownShare},
		{"history.zipf", x.History.Zipf}, {"history.headroom", x.History.Headroom}} {
		if !(bound.v >= 0) {
			return fmt.Errorf("%s: %v, want 0 or more", bound.key, bound.v)
		}
	}
	return nil
}

// ReadFile reads an experiment from a file.
func ReadFile(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	exp, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return exp, nil
}

// Run measures an experiment within its limits. After a failure the result still has the figures measured before it,
// and the failure itself.
func Run(ctx context.Context, exp *Experiment, log *slog.Logger) (*Result, error) {
	limiter, err := newResourceLimiter(ctx, &exp.Limits)
	if err != nil {
		return nil, err
	}
	defer limiter.stop()
	result := newResult(exp)
	startedAt := time.Now()
	err = runFuncs[exp.Kind](limiter.ctx, exp, result, limiter, log)
	if cause := context.Cause(limiter.ctx); err != nil && cause != nil {
		err = cause
	}
	result.TookS = time.Since(startedAt).Seconds()
	result.PeakMB = float64(limiter.peakResident.Load()) / (1 << 20)
	if err != nil {
		result.Failed = err.Error()
	}
	return result, err
}
