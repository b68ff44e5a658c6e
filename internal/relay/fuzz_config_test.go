package relay

import (
	"net"
	"reflect"
	"strings"
	"testing"

	"troutusher/decide"
)

// fuzzConfig is a whole configuration, with a list in it.
const fuzzConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","state":"/x","seed":"1f","ops":"127.0.0.1:3",
	"limits":{"cores":1,"memory_mb":64,"sockets":256,"disk_mb":2},
	"known":{"revision":4,"complete":true,"members":[{"id":"s-1","host_port":"10.0.0.1:1","locality":"a","flavor":"k","cell":7,"phase":"up","size":2}]},
	"settings":` + testSettings + `}`

// changes of fuzzConfig that a file may have.
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

func noEnvironment(string) string { return "" }

// FuzzLoadConfig: a configuration that is accepted is whole and one that a relay can
// work with, is accepted by a running relay as well, and can take its own place there.
func FuzzLoadConfig(f *testing.F) {
	f.Add([]byte(fuzzConfig))
	for _, change := range fuzzConfigChanges {
		text := strings.Replace(fuzzConfig, change[0], change[1], 1)
		if text == fuzzConfig {
			f.Fatalf("%q changes nothing", change[0])
		}
		f.Add([]byte(text))
	}
	f.Add([]byte(fuzzConfig[:len(fuzzConfig)/2]))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := loadConfig(strings.NewReader(string(text)), noEnvironment, false)
		if err != nil {
			return
		}
		checkConfig(t, cfg)
		again, err := loadConfig(strings.NewReader(string(text)), noEnvironment, true)
		if err != nil {
			t.Fatalf("accepted at the start, and by a running relay not: %v", err)
		}
		if again.Known != nil {
			t.Error("a running relay takes the list of the file")
		}
		if !reflect.DeepEqual(again.Policy, cfg.Policy) || !reflect.DeepEqual(again.Limits, cfg.Limits) || again.Seed != cfg.Seed {
			t.Errorf("read twice as\n%+v and\n%+v", cfg, again)
		}
		if err := again.checkCanReplace(cfg); err != nil {
			t.Errorf("it cannot take its own place: %v", err)
		}
	})
}

// checkConfig: what a relay does with a configuration works out.
func checkConfig(t *testing.T, cfg *Config) {
	t.Helper()
	if cfg.Name == "" || cfg.StateFolder == "" {
		t.Errorf("name %q, state %q", cfg.Name, cfg.StateFolder)
	}
	for _, address := range []string{cfg.ListenAddr, cfg.DiscoveryAddr} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			t.Errorf("address: %v", err)
		}
	}
	if err := cfg.Policy.Validate(); err != nil {
		t.Errorf("settings: %v", err)
	}
	if _, err := decide.New(cfg.Policy, cfg.Seed); err != nil {
		t.Errorf("policy: %v", err)
	}
	clients, endpoints := cfg.socketBudget()
	if clients < 1 || endpoints < 1 || clients+endpoints+reservedSockets > cfg.Limits.Sockets {
		t.Errorf("budget %d and %d of %d", clients, endpoints, cfg.Limits.Sockets)
	}
	if memory, list := memoryLimit(cfg), directoryLimit(&cfg.Limits); memory <= 0 || list <= 0 || list > memory {
		t.Errorf("%d MB of memory: %d bytes for all, %d for the list", cfg.Limits.MemoryMB, memory, list)
	}
	if disk := int64(cfg.Limits.DiskMB) << 20; disk <= 0 {
		t.Errorf("%d MB of disk are %d bytes", cfg.Limits.DiskMB, disk)
	}
	if cfg.Known != nil && cfg.KnownErr != nil {
		t.Errorf("a list beside the error %v", cfg.KnownErr)
	}
	for name, class := range cfg.classes {
		if class < 0 || class >= len(cfg.Policy.Classes) || cfg.Policy.Classes[class].Name != name {
			t.Errorf("class %q is %d of %d", name, class, len(cfg.Policy.Classes))
		}
	}
}

// FuzzReplaces: a file that takes the place of a running one has every key of it, and
// what it lacks is named.
func FuzzReplaces(f *testing.F) {
	running, err := loadConfig(strings.NewReader(fuzzConfig), noEnvironment, true)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(fuzzConfig))
	for _, change := range fuzzConfigChanges {
		f.Add([]byte(strings.Replace(fuzzConfig, change[0], change[1], 1)))
	}
	f.Add([]byte(`{"settings":{}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := loadConfig(strings.NewReader(string(text)), noEnvironment, true)
		if err != nil {
			return
		}
		if cfg.checkCanReplace(running) != nil {
			return
		}
		if err := cfg.Policy.Validate(); err != nil || cfg.Policy.MaxAttempts <= 0 || len(cfg.Policy.Classes) == 0 {
			t.Errorf("taken over: %d attempts, %d classes, %v", cfg.Policy.MaxAttempts, len(cfg.Policy.Classes), err)
		}
		checkKeys(t, running.rawConfig, cfg.rawConfig)
	})
}

// checkKeys: each key of the running object that has a value has one in the new object.
func checkKeys(t *testing.T, running, replacing map[string]any) {
	t.Helper()
	for key, was := range running {
		is := replacing[key]
		if was != nil && is == nil {
			t.Errorf("key %q is missing", key)
		}
		if object, ok := was.(map[string]any); ok {
			inner, _ := is.(map[string]any)
			checkKeys(t, object, inner)
		}
	}
}
