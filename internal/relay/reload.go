package relay

import (
	"context"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"

	"troutusher/decide"
)

// A configuration is read again on SIGHUP. A running relay takes over the
// settings and the address of discovery, both or neither; name, addresses,
// folder and limits bind until the next start.

// Reload tells a running relay of new configurations.
type Reload struct {
	Asked <-chan os.Signal        // one value for each time that it is to be read
	Read  func() (*Config, error) // reads it
}

// follow reads the configuration whenever that is asked for. One that cannot
// be read or is wrong changes nothing.
func (r *Relay) follow(ctx context.Context, re Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-re.Asked:
		}
		r.readAgain(re)
	}
}

func (r *Relay) readAgain(re Reload) {
	cfg, err := re.Read()
	if err != nil {
		r.log.Error("new configuration not taken over, the old one stays", "err", err)
		return
	}
	r.in.put(event{config: cfg})
}

// reconfigure takes over what a running relay can. New settings bind for what
// is handed in from here on. Watch and notices move to a new address, and what
// was not confirmed at the old one goes out there.
func (r *Relay) reconfigure(cfg *Config) {
	if err := cfg.replaces(r.cfg); err != nil {
		r.log.Error("new configuration not taken over, the old one stays", "err", err)
		return
	}
	old := r.cfg
	if cfg.Name != old.Name || cfg.Listen != old.Listen || cfg.Ops != old.Ops || cfg.State != old.State || cfg.Limits != old.Limits {
		r.log.Warn("new configuration: name, listen, ops, state and limits wait for the next start")
	}
	cfg.Name, cfg.Listen, cfg.Ops, cfg.State, cfg.Limits = old.Name, old.Listen, old.Ops, old.State, old.Limits
	r.cfg = cfg
	if !reflect.DeepEqual(cfg.Policy, old.Policy) {
		r.events = append(r.events, decide.Event{Kind: decide.EvSettings, Settings: &cfg.Policy})
	}
	clients, endpoints := r.budget()
	r.clients.reconfigure(cfg, clients)
	r.pool.configure(&cfg.Policy, endpoints)
	r.log.Info("new configuration taken over", "classes", len(cfg.Policy.Classes), "attempts", cfg.Policy.MaxAttempts,
		"settings_changed", !reflect.DeepEqual(cfg.Policy, old.Policy))
	if cfg.Discovery == r.agent {
		return
	}
	r.log.Info("new configuration: discovery moves", "from", r.agent, "to", cfg.Discovery)
	r.agent = cfg.Discovery
	r.discovery.addresses.put(r.agent)
	r.notices.addresses.put(r.agent)
}

// replaces tells why a configuration cannot take the place of a running one:
// a key that the running one has is missing, which a file written by half or by
// hand lacks, or it allows no attempts.
func (c *Config) replaces(old *Config) error {
	if c.Policy.MaxAttempts <= 0 && old.Policy.MaxAttempts > 0 {
		return fmt.Errorf("config: settings.limits.most_tries: %d, want above 0", c.Policy.MaxAttempts)
	}
	if key := missing(old.text, c.text, "config"); key != "" {
		return fmt.Errorf("%s: missing", key)
	}
	return nil
}

// missing names a key of the old object that the new one lacks, or has without
// a value. The members of a list are measured by what all the old ones have.
func missing(old, new any, at string) string {
	switch was := old.(type) {
	case map[string]any:
		is, _ := new.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(was)) {
			v, ok := is[key]
			if !ok || v == nil && was[key] != nil {
				return at + "." + key
			}
			if k := missing(was[key], v, at+"."+key); k != "" {
				return k
			}
		}
	case []any:
		is, ok := new.([]any)
		if !ok {
			return at
		}
		all := map[string]any{} // keys of all that are objects
		for i, x := range was {
			m, ok := x.(map[string]any)
			if !ok {
				return ""
			}
			if i == 0 {
				maps.Copy(all, m)
			}
			maps.DeleteFunc(all, func(k string, _ any) bool { _, ok := m[k]; return !ok })
		}
		for i, x := range is {
			if k := missing(all, x, fmt.Sprintf("%s[%d]", at, i)); k != "" {
				return k
			}
		}
	}
	return ""
}

// atEach runs work for one address after another, each until the next is
// named. work must return when its context ends: nothing of an old address
// overlaps with the new one.
func atEach(ctx context.Context, addr string, moves *mailbox[string], work func(ctx context.Context, addr string)) {
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			work(here, addr)
		}()
		select {
		case <-ctx.Done():
		case <-moves.ready:
		}
		leave()
		<-done
		if named := moves.takeAll(nil); len(named) > 0 {
			addr = named[len(named)-1]
		}
	}
}
