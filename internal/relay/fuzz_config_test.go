package relay

import (
	"net"
	"reflect"
	"strings"
	"testing"

	"troutusher/decide"
)

// fuzzConfig is a complete configuration with a known list.
const fuzzConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","state":"/x","seed":"1f","ops":"127.0.0.1:3",
	"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":2},
	"known":{"revision":4,"complete":true,"members":[{"id":"s-1","host_port":"10.0.0.1:1","locality":"a","flavor":"k","cell":7,"phase":"up","size":2}]},
	"settings":` + testSettings + `}`

// fuzzConfigChanges are replacements in fuzzConfig for seeds of the fuzz targets: the old and the new text.
var fuzzConfigChanges = [][2]string{
	{`"seed":"1f"`, `"seed":42`},
	{`"seed":"1f"`, `"seed":null`},
	{`"memory_mb":64`, `"memory_mb":9223372036854775807`},
	{`"disk_mb":2`, `"disk_mb":8796093022208`},
	{`"sockets":256`, `"sockets":64`},
	{`"sockets":256`, `"sockets":9223372036854775807`},
	{`"most_tries":8`, `"most_tries":0`},
	{`"most_tries":8`, `"most_tries":null`},
	{`"calls_out":16`, `"calls_out":9223372036854775807`},
	{`"deadline_us":20000000`, `"deadline_us":1`},
	{`"kind_batch":[1,3]`, `"kind_batch":[0]`},
	{`"localities":["a","b"]`, `"localities":null`},
	{`"known":{`, `"known":null,"other":{`},
	{`"known":{`, `"known":{"members":[]},"known":{`},
	{`"limits":{"cores":1,`, `"limits":null,"later":{"cores":1,`},
	{`"phase":"up"`, `"phase":"asleep"`},
	{`"name":"n1",`, ``},
	{`"zone":0}`, `"zone":0}}`},
}

// emptyEnvironment is a lookup of environment variables of which none is set.
func emptyEnvironment(string) string { return "" }

// FuzzLoadConfig: a configuration that is accepted at startup is complete and consistent. A running relay accepts it as
// well, and it can replace itself there.
func FuzzLoadConfig(f *testing.F) {
	f.Add([]byte(fuzzConfig))
	for _, change := range fuzzConfigChanges {
		text := strings.Replace(fuzzConfig, change[0], change[1], 1)
		if text == fuzzConfig {
			f.Fatalf("fuzzConfig does not contain %q", change[0])
		}
		f.Add([]byte(text))
	}
	f.Add([]byte(fuzzConfig[:len(fuzzConfig)/2]))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := loadConfig(strings.NewReader(string(text)), emptyEnvironment, false)
		if err != nil {
			return
		}
		checkConfig(t, cfg)
		reloaded, err := loadConfig(strings.NewReader(string(text)), emptyEnvironment, true)
		if err != nil {
			t.Fatalf("a configuration accepted at startup: a running relay returns %v, want no error", err)
		}
		if reloaded.Known != nil {
			t.Error("a running relay takes the list from the file, want it ignored")
		}
		if !reflect.DeepEqual(reloaded.Policy, cfg.Policy) || !reflect.DeepEqual(reloaded.Limits, cfg.Limits) ||
			reloaded.Seed != cfg.Seed {
			t.Errorf("two reads of the same file differ:\n%+v and\n%+v", cfg, reloaded)
		}
		if err := reloaded.checkCanReplace(cfg); err != nil {
			t.Errorf("a configuration replaces itself: got error %v, want none", err)
		}
	})
}

// checkConfig checks that a relay can use an accepted configuration, and that the limits derived from it are valid.
func checkConfig(t *testing.T, cfg *Config) {
	t.Helper()
	if cfg.Name == "" || cfg.StateFolder == "" {
		t.Errorf("got name %q and state folder %q, want both set", cfg.Name, cfg.StateFolder)
	}
	for _, address := range []string{cfg.ListenAddr, cfg.DiscoveryAddr} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			t.Errorf("invalid address: %v", err)
		}
	}
	if err := cfg.Policy.Validate(); err != nil {
		t.Errorf("invalid settings: %v", err)
	}
	if _, err := decide.New(cfg.Policy, cfg.Seed); err != nil {
		t.Errorf("decide.New: %v", err)
	}
	clients, endpoints := cfg.socketBudget()
	if clients < 1 || endpoints < 1 || clients+endpoints+reservedSockets > cfg.Limits.Sockets {
		t.Errorf("got budgets of %d client and %d endpoint sockets, want at least 1 each within %d sockets",
			clients, endpoints, cfg.Limits.Sockets)
	}
	if memory, list := memoryLimit(cfg), directoryLimit(&cfg.Limits); memory <= 0 || list <= 0 || list > memory {
		t.Errorf("%d MB of memory: got limits of %d bytes for the process and %d for the list",
			cfg.Limits.MemoryMB, memory, list)
	}
	if disk := int64(cfg.Limits.DiskMB) << 20; disk <= 0 {
		t.Errorf("%d MB of disk: got a limit of %d bytes, want more than 0", cfg.Limits.DiskMB, disk)
	}
	if cfg.Known != nil && cfg.KnownErr != nil {
		t.Errorf("got a known list and the error %v, want one of them", cfg.KnownErr)
	}
	for name, class := range cfg.classes {
		if class < 0 || class >= len(cfg.Policy.Classes) || cfg.Policy.Classes[class].Name != name {
			t.Errorf("class %q: got index %d of %d classes", name, class, len(cfg.Policy.Classes))
		}
	}
}

// FuzzReloadConfig: a configuration that may replace the running one has a value for every key that has one there. Any
// other is refused with an error that names the missing key.
func FuzzReloadConfig(f *testing.F) {
	running, err := loadConfig(strings.NewReader(fuzzConfig), emptyEnvironment, true)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(fuzzConfig))
	for _, change := range fuzzConfigChanges {
		f.Add([]byte(strings.Replace(fuzzConfig, change[0], change[1], 1)))
	}
	f.Add([]byte(`{"settings":{}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := loadConfig(strings.NewReader(string(text)), emptyEnvironment, true)
		if err != nil {
			return
		}
		if cfg.checkCanReplace(running) != nil {
			return
		}
		if err := cfg.Policy.Validate(); err != nil || cfg.Policy.MaxAttempts <= 0 || len(cfg.Policy.Classes) == 0 {
			t.Errorf("an accepted replacement has %d attempts, %d classes and the policy error %v",
				cfg.Policy.MaxAttempts, len(cfg.Policy.Classes), err)
		}
		checkKeysKept(t, running.rawConfig, cfg.rawConfig)
	})
}

// checkKeysKept checks that each key that has a value in the running object has one in its replacement.
func checkKeysKept(t *testing.T, running, replacement map[string]any) {
	t.Helper()
	for key, oldValue := range running {
		newValue := replacement[key]
		if oldValue != nil && newValue == nil {
			t.Errorf("key %q: got no value in the replacement, want one", key)
		}
		if object, ok := oldValue.(map[string]any); ok {
			newObject, _ := newValue.(map[string]any)
			checkKeysKept(t, object, newObject)
		}
	}
}
