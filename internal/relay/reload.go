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

// The configuration is read again on SIGHUP. A running relay applies the settings and the address of
// discovery, either both or none of them. Name, addresses, state folder and limits stay as they are
// until the next start.

// Reload is the source of new configurations for a running relay.
type Reload struct {
	Requested <-chan os.Signal        // receives a value each time the configuration is to be read again
	Read      func() (*Config, error) // reads the configuration
}

// watchReloads reads the configuration on each request until ctx ends. A configuration that cannot be
// read or is invalid changes nothing.
func (r *Relay) watchReloads(ctx context.Context, reload Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload.Requested:
		}
		r.rereadConfig(reload)
	}
}

// rereadConfig reads the configuration and passes it to the loop.
func (r *Relay) rereadConfig(reload Reload) {
	cfg, err := reload.Read()
	if err != nil {
		r.log.Error("new configuration not applied, keeping the old one", "err", err)
		return
	}
	r.inbox.put(event{config: cfg})
}

// applyConfig applies the parts of a new configuration that a running relay can change. New settings
// apply to messages handed in from here on. If the address of discovery changes, the watch and the
// notices move there, including notices that the old address has not confirmed.
func (r *Relay) applyConfig(cfg *Config) {
	if err := cfg.checkCanReplace(r.cfg); err != nil {
		r.log.Error("new configuration not applied, keeping the old one", "err", err)
		return
	}
	old := r.cfg
	if cfg.Name != old.Name || cfg.ListenAddr != old.ListenAddr || cfg.OpsAddr != old.OpsAddr ||
		cfg.StateFolder != old.StateFolder || cfg.Limits != old.Limits {
		r.log.Warn("new configuration: changes of name, listen, ops, state and limits take effect at the next start")
	}
	cfg.Name, cfg.ListenAddr, cfg.OpsAddr, cfg.StateFolder, cfg.Limits =
		old.Name, old.ListenAddr, old.OpsAddr, old.StateFolder, old.Limits
	cfg.keepZoneNumbers(old)
	r.cfg = cfg
	if !reflect.DeepEqual(cfg.Policy, old.Policy) {
		r.policyEvents = append(r.policyEvents, decide.Event{Kind: decide.EvSettings, Settings: &cfg.Policy})
	}
	clients, endpoints := r.socketBudget()
	r.clients.reconfigure(cfg, clients)
	r.pool.configure(&cfg.Policy, endpoints)
	r.log.Info("new configuration applied", "classes", len(cfg.Policy.Classes), "attempts", cfg.Policy.MaxAttempts,
		"settings_changed", !reflect.DeepEqual(cfg.Policy, old.Policy))
	if cfg.DiscoveryAddr == r.discoveryAddr {
		return
	}
	r.log.Info("new configuration: discovery address changed", "from", r.discoveryAddr, "to", cfg.DiscoveryAddr)
	r.discoveryAddr = cfg.DiscoveryAddr
	r.discovery.addresses.put(r.discoveryAddr)
	r.notices.addresses.put(r.discoveryAddr)
}

// keepZoneNumbers gives the zones the numbers that they have in the old configuration, and new ones to zones that it
// does not have. The policy compares the zone of an endpoint with that of an earlier attempt by their numbers.
func (c *Config) keepZoneNumbers(old *Config) {
	numbers := maps.Clone(old.zones)
	ownZone := c.Policy.Zone
	for _, name := range slices.SortedFunc(maps.Keys(c.zones),
		func(a, b string) int { return c.zones[a] - c.zones[b] }) {
		if _, known := numbers[name]; !known {
			numbers[name] = nextNumber(numbers)
		}
		if c.zones[name] == ownZone {
			c.Policy.Zone = numbers[name]
		}
	}
	c.zones = numbers
}

// checkCanReplace returns an error if c cannot replace the running configuration old: a key of old is
// missing, as in a file that is only partly written or was edited by hand, or c allows no attempts.
func (c *Config) checkCanReplace(old *Config) error {
	if c.Policy.MaxAttempts <= 0 && old.Policy.MaxAttempts > 0 {
		return fmt.Errorf("config: settings.limits.most_tries: %d, want above 0", c.Policy.MaxAttempts)
	}
	if key := missingKey(old.rawConfig, c.rawConfig, "config"); key != "" {
		return fmt.Errorf("%s: missing", key)
	}
	return nil
}

// missingKey returns the path of a key that the old value has and the new one lacks or has set to null;
// "" if there is none. Each object in a new list must have the keys that all objects in the old one have.
func missingKey(old, new any, path string) string {
	switch oldValue := old.(type) {
	case map[string]any:
		newValue, _ := new.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(oldValue)) {
			value, ok := newValue[key]
			if !ok || value == nil && oldValue[key] != nil {
				return path + "." + key
			}
			if absent := missingKey(oldValue[key], value, path+"."+key); absent != "" {
				return absent
			}
		}
	case []any:
		newValue, ok := new.([]any)
		if !ok {
			return path
		}
		commonKeys := map[string]any{} // the keys that every element has, if all are objects
		for i, element := range oldValue {
			object, ok := element.(map[string]any)
			if !ok {
				return ""
			}
			if i == 0 {
				maps.Copy(commonKeys, object)
			}
			maps.DeleteFunc(commonKeys, func(key string, _ any) bool { _, ok := object[key]; return !ok })
		}
		for i, element := range newValue {
			if absent := missingKey(commonKeys, element, fmt.Sprintf("%s[%d]", path, i)); absent != "" {
				return absent
			}
		}
	}
	return ""
}

// runPerAddress runs work for addr. Whenever an address arrives in newAddrs it ends that work and runs
// work for the newest address, until ctx ends. work must return when its context ends, so that work for
// the old and the new address does not overlap.
func runPerAddress(ctx context.Context, addr string, newAddrs *mailbox[string],
	work func(ctx context.Context, addr string)) {
	for ctx.Err() == nil {
		addrCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			work(addrCtx, addr)
		}()
		select {
		case <-ctx.Done():
		case <-newAddrs.ready:
		}
		cancel()
		<-done
		if addrs := newAddrs.takeAll(nil); len(addrs) > 0 {
			addr = addrs[len(addrs)-1]
		}
	}
}
