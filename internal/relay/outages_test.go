package relay

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"troutusher/decide"
	"troutusher/internal/clock"
)

// What a process saw of an outage is known to the next one, whether the list names the endpoint at its start or
// later, and is gone from the log once it is over.
func TestOutageOutlastsTheProcess(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	away := Member{ID: "s-1", HostPort: ln.Addr().String(), Locality: "a", Flavor: "k", Cell: 1, Phase: phaseUp, Size: 1000}
	ln.Close() // connections there are refused
	env := testConfig(t, newFakeDiscovery(t, away), 3)
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	for i := range 6 {
		if s := cl.put(fmt.Sprintf("m%d", i), fields("plain", 20000, 1), nil); s != "+OK" {
			t.Fatal(s)
		}
	}
	waitFor(t, "the outage in the log", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(text), `"kind":"outage","id":"s-1"`)
	})
	c.kill()
	w, _ := openTestWAL(t, env["ROUTER_STATE"], 3<<20)
	found := w.outageRecords()
	if len(found) != 1 || found[0].ID != "s-1" || found[0].Outage == nil {
		t.Fatalf("found %+v", found)
	}
	if age := clock.Since(clock.System(), clock.Instant(found[0].Outage.FirstBad)); age < 0 || age > time.Hour {
		t.Errorf("began %v ago", age)
	}
	for _, listed := range []bool{true, false} {
		r := newTestRelay(t)
		r.wal = w
		list := func() { r.receiveList(t, &List{Revision: 1, Complete: true, Members: []Member{away}}) }
		if listed {
			list()
		}
		r.resumeOutages(found)
		if !listed {
			list()
		}
		r.step()
		num := r.endpointByID("s-1").num
		o, known := r.policy.Outage(num)
		if !known || decide.Time(r.instant(o.FirstBad)) != found[0].Outage.FirstBad || len(r.unlistedOutages) != 0 {
			t.Errorf("listed at the start %v: known %v, %+v, want %+v; %d not told", listed, known, o, found[0].Outage, len(r.unlistedOutages))
		}
		r.receiveList(t, &List{Revision: 2, Members: []Member{{ID: "s-1", Phase: phaseRemoved}}})
		r.step() // nothing is known of what is gone
		ops := w.queue.takeAll(nil)
		if len(ops) == 0 || ops[len(ops)-1].rec.Kind != recordOutage || ops[len(ops)-1].rec.Outage != nil {
			t.Errorf("after the endpoint left, %d records", len(ops))
		}
	}
}

// Outages keep to their part of the disk, the newest are kept, and those that are over leave nothing; what is owed
// is held as ever.
func TestOutagesAreBounded(t *testing.T) {
	const limit = 512 << 10
	dir := t.TempDir()
	w, _ := openTestWAL(t, dir, limit)
	if err := w.append(&record{Kind: recordAccepted, ID: "m", Class: "plain", Deadline: 1}, false); err != nil {
		t.Fatal(err)
	}
	const all = 5000
	for i := range all {
		o := &decide.OutageSnapshot{Mute: true, FirstBad: int64(i) + 1, BadAt: int64(i) + 2}
		if err := w.append(&record{Kind: recordOutage, ID: fmt.Sprintf("s-%08d", i), Outage: o}, false); err != nil {
			t.Fatalf("outage %d: %v", i, err)
		}
	}
	if err := w.append(&record{Kind: recordOutage, ID: fmt.Sprintf("s-%08d", all-2)}, false); err != nil {
		t.Fatal(err)
	}
	if err := w.append(&record{Kind: recordOutage, ID: "s-never"}, false); err != errNotPending {
		t.Errorf("the end of an outage that nobody knows: %v", err)
	}
	w.start()
	w.halt()
	w.slots.release()
	again, owed := openTestWAL(t, dir, limit)
	found := again.outageRecords()
	if want := limit/outageDiskDivisor/outageRecordBytes - 1; len(found) != want {
		t.Fatalf("%d outages kept, want %d", len(found), want)
	}
	for i, rec := range found {
		from := all - len(found) - 1 + i
		if i == len(found)-1 {
			from = all - 1
		}
		if rec.ID != fmt.Sprintf("s-%08d", from) || rec.Outage.BadAt != int64(from)+2 || !rec.Outage.Mute {
			t.Fatalf("outage %d of %d: %+v %+v", i, len(found), rec, rec.Outage)
		}
	}
	if len(owed) != 1 || owed[0].ID != "m" {
		t.Errorf("owed %+v", owed)
	}
	if size, least := again.size, int64(len(found)*100); size > limit/outageDiskDivisor*2 || size < least {
		t.Errorf("the log takes %d bytes", size)
	}
}
