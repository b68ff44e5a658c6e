package relay

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"troutusher/decide"
	"troutusher/internal/membership"
	"troutusher/internal/settings"
	"troutusher/internal/wire"
)

// Limits are the resources of the machine that the relay may use. Zero stands for a default.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   int     `json:"disk_mb"`
}

// Config is the configuration of a relay.
type Config struct {
	Name          string
	ListenAddr    string
	DiscoveryAddr string
	StateFolder   string // holds the write-ahead log
	OpsAddr       string // of the operator port; empty for none
	SocketFD      int    // clients' listener, if the platform passes one; -1 for none
	Seed          uint64
	Limits        Limits
	Known         *membership.Directory // last endpoint list of this relay, possibly out of date; nil for none
	KnownErr      error                 // why Known is nil although the file has a list
	Policy        decide.Settings
	// zones, kinds, classes and tenants map names to indexes in the settings. In the configuration of a running relay,
	// zones maps them to the policy's numbers, and also names that only the endpoint list has; only the loop uses it then.
	zones      map[string]int
	kinds      map[string]int
	classes    map[string]int
	tenants    map[string]int
	loadFields []string       // names of the fields of a load report
	rawConfig  map[string]any // the file without its endpoint list, which later files need not have
	folder     logFolder      // replaces the operating system's in tests; nil otherwise

	// commandTimeout is the time that a client may take for each command after its first, set in tests.
	// 0 stands for the default.
	commandTimeout time.Duration
}

// logFolder returns the file operations that the log uses.
func (c *Config) logFolder() logFolder {
	if c.folder != nil {
		return c.folder
	}
	return osFolder{}
}

// LoadConfig reads the configuration file named by ROUTER_CONFIG. Environment variables override the
// file's name, addresses and state folder.
func LoadConfig(getenv func(string) string) (*Config, error) {
	return readConfig(getenv, false)
}

// ReloadConfig reads the same file for a running relay. The file's discovery address then overrides the
// environment, which still has the values from the start of the process.
func ReloadConfig(getenv func(string) string) (*Config, error) {
	return readConfig(getenv, true)
}

// readConfig reads the configuration file.
func readConfig(getenv func(string) string, reload bool) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	defer f.Close()
	return loadConfig(f, getenv, reload)
}

// loadConfig reads a configuration, including its endpoint list unless it is a reload. Since the list
// may be far longer than the rest, it is streamed straight into a directory.
func loadConfig(source io.ReadSeeker, getenv func(string) string, reload bool) (*Config, error) {
	reader := &configReader{skipKnown: reload}
	if err := reader.read(source); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	cfg, err := parseConfig(append(reader.rest, '}'), getenv, reload)
	if err != nil || reader.known == nil {
		return cfg, err
	}
	// The limits may come after the list in the file: a list that was too long for the limits known then is
	// read again if it may fit now.
	if reader.knownErr != nil && directoryLimit(&cfg.Limits) > directoryLimit(&reader.limits) {
		if _, err := source.Seek(0, io.SeekStart); err != nil {
			return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
		}
		reader = &configReader{limits: cfg.Limits}
		if err := reader.read(source); err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
	}
	if reader.knownErr != nil { // a relay can start without the list
		cfg.KnownErr = reader.knownErr
		return cfg, nil
	}
	cfg.Known = reader.known
	cfg.Known.SetLimit(directoryLimit(&cfg.Limits))
	return cfg, nil
}

// configReader separates the endpoint list of a configuration from the rest.
type configReader struct {
	skipKnown bool   // skip the list, as a reload does
	rest      []byte // the JSON object without the list and the closing brace
	limits    Limits // as far as they have been read
	known     *membership.Directory
	knownErr  error // why the list could not be read completely
}

// read reads a whole configuration.
func (x *configReader) read(source io.Reader) error {
	decoder := jx.Decode(source, 64<<10)
	x.rest = []byte{'{'}
	err := decoder.ObjBytes(func(decoder *jx.Decoder, key []byte) error {
		if string(key) == "known" {
			return x.readKnown(decoder)
		}
		if len(x.rest) > 1 {
			x.rest = append(x.rest, ',')
		}
		name, err := json.Marshal(string(key))
		if err != nil {
			return err
		}
		raw, err := decoder.Raw()
		if err == nil && string(key) == "limits" {
			json.Unmarshal(raw, &x.limits) // errors are reported by parseConfig
		}
		x.rest = append(append(append(x.rest, name...), ':'), raw...)
		return err
	})
	if err == nil {
		err = membership.CheckEnd(decoder)
	}
	return err
}

// readKnown reads the endpoint list into a directory. A list that does not fit sets knownErr.
func (x *configReader) readKnown(decoder *jx.Decoder) error {
	switch next := decoder.Next(); {
	case next == jx.Null || next == jx.Object && x.skipKnown:
		return decoder.Skip()
	case next != jx.Object:
		return errors.New("known: wrong type")
	}
	x.limits.applyDefaults()
	x.known, x.knownErr = membership.NewDirectory(directoryLimit(&x.limits)), nil
	stage, err := x.known.Stage(context.Background())
	if err != nil {
		return err
	}
	header, err := membership.ReadEmbedded(decoder, func(_ *membership.Header, entry *membership.Entry) error {
		if x.knownErr == nil {
			_, x.knownErr = stage.Entry(entry, false)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	if x.knownErr != nil {
		stage.Abort()
		return nil
	}
	update := stage.Commit(header.Revision, true)
	for done := false; !done; {
		_, done = update.Apply(changesPerStep, nil)
	}
	return nil
}

// parseConfig parses a configuration without its endpoint list.
func parseConfig(text []byte, getenv func(string) string, reload bool) (*Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		State     string          `json:"state"`
		Ops       string          `json:"ops"`
		Seed      json.RawMessage `json:"seed"`
		Limits    Limits          `json:"limits"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("config: %s: wrong type %s", typeErr.Field, typeErr.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	cfg := &Config{Name: file.Name, ListenAddr: file.Listen, DiscoveryAddr: file.Discovery,
		StateFolder: file.State, OpsAddr: file.Ops, Limits: file.Limits}
	for _, setting := range []struct {
		env, key string
		field    *string
	}{{"ROUTER_NAME", "name", &cfg.Name}, {"ROUTER_LISTEN", "listen", &cfg.ListenAddr},
		{"ROUTER_DISCOVERY", "discovery", &cfg.DiscoveryAddr}, {"ROUTER_STATE", "state", &cfg.StateFolder}} {
		if value := getenv(setting.env); value != "" &&
			(*setting.field == "" || !reload || setting.key != "discovery") {
			*setting.field = value
		}
		if *setting.field == "" {
			return nil, fmt.Errorf("config: %s: missing, and %s is not set", setting.key, setting.env)
		}
	}
	cfg.SocketFD = -1
	if value := getenv("ROUTER_SOCKET_FD"); value != "" {
		fd, err := strconv.Atoi(value)
		if err != nil || fd < 0 {
			return nil, fmt.Errorf("ROUTER_SOCKET_FD: %q is not a file descriptor", value)
		}
		cfg.SocketFD = fd
	}
	cfg.OpsAddr = cmp.Or(getenv("ROUTER_OPS"), cfg.OpsAddr) // optional: earlier configurations do not have it
	for key, addr := range map[string]string{"listen": cfg.ListenAddr, "discovery": cfg.DiscoveryAddr,
		"ops": cfg.OpsAddr} {
		if key == "ops" && addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("config: %s: %w", key, err)
		}
	}
	var err error
	if cfg.Seed, err = parseSeed(file.Seed); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	if err := cfg.Limits.applyDefaults(); err != nil {
		return nil, fmt.Errorf("config: limits.%w", err)
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("config: settings: missing")
	}
	if err := json.Unmarshal(text, &cfg.rawConfig); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return cfg, cfg.readSettings(file.Settings)
}

// readSettings parses the settings object and indexes the names in it.
func (c *Config) readSettings(text []byte) error {
	parsed, err := wire.ParseSettings(text)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if c.Policy, err = settings.Policy(parsed); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if err := c.Policy.Validate(); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	// A connection to an endpoint carries one call at a time, unlike the connections of the simulator.
	c.Policy.StreamsPerConn = 1
	var names struct {
		Localities []string `json:"localities"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("config: settings: localities: %w", err)
	}
	c.loadFields = parsed.Report.Fields
	c.zones, c.kinds = indexByName(names.Localities), indexByName(parsed.Kinds)
	c.classes, c.tenants = map[string]int{}, map[string]int{}
	for i, entry := range parsed.Classes {
		c.classes[entry.Name] = i
	}
	for i, entry := range parsed.Tenants {
		c.tenants[entry.Name] = i
	}
	return nil
}

// indexByName maps each name to its index.
func indexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// parseSeed parses a 64-bit seed, given as a string in hexadecimal or as a decimal number.
func parseSeed(raw json.RawMessage) (uint64, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return 0, errors.New("missing")
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return strconv.ParseUint(s, 16, 64)
	}
	return strconv.ParseUint(string(raw), 10, 64)
}

// maxLimitMB is the highest limit in megabytes: the limit in bytes must fit in an int64.
const maxLimitMB = 1 << 40

// applyDefaults sets the defaults of limits that are zero, and returns an error for invalid ones.
func (l *Limits) applyDefaults() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("cores: %v, want 0 or more", l.Cores)
	case l.MemoryMB < 0 || l.MemoryMB > maxLimitMB:
		return fmt.Errorf("memory_mb: %d, want 0 to %d", l.MemoryMB, maxLimitMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return fmt.Errorf("sockets: %d, want at least %d", l.Sockets, minSockets)
	case l.DiskMB < 0 || l.DiskMB > maxLimitMB:
		return fmt.Errorf("disk_mb: %d, want 0 to %d", l.DiskMB, maxLimitMB)
	}
	if l.Cores == 0 {
		l.Cores = 1
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = 192
	}
	if l.Sockets == 0 {
		l.Sockets = 1024
	}
	if l.DiskMB == 0 {
		l.DiskMB = 3
	}
	return nil
}

// Numbers of file descriptors.
const (
	reservedSockets = 28 + maxOperatorConns // for the runtime, the log, the listeners, discovery and the operator port
	minSockets      = 64                    // the fewest with which a relay can work
)

// clientConnBytes is the memory for one client connection: its stacks and buffers, the unreserved bytes of its
// commands, and what waits to be collected of earlier ones.
const clientConnBytes = 64 << 10

// socketBudget splits the available descriptors between clients and endpoints. Each call in flight needs
// one, so the endpoints get at least as many as there are slots, unless that leaves the clients less
// than half. Clients get no more than there is memory for.
func (c *Config) socketBudget() (clients, endpoints int) {
	free := c.Limits.Sockets - reservedSockets
	endpoints = min(max(free/4, c.Policy.Slots+8), free/2)
	return min(free-endpoints, c.Limits.MemoryMB<<20/clientConnBytes), endpoints
}

// isKeyed reports whether the messages of a class carry idempotency keys.
func (c *Config) isKeyed(class int) bool {
	return c.Policy.Classes[class].Idempotency == decide.Deduplicated
}
