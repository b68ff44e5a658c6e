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

// The state of an outage must survive a restart, whether the list names the endpoint at the start of the successor
// process or later. The log no longer holds the outage once it is over.
func TestOutageSurvivesRestart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := Member{ID: "s-1", HostPort: listener.Addr().String(), Locality: "a", Flavor: "k", Cell: 1,
		Phase: phaseUp, Size: 1000}
	listener.Close() // further connections are refused
	env := writeTestConfig(t, newFakeDiscovery(t, unreachable), 3)
	child := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	for i := range 6 {
		if reply := client.put(fmt.Sprintf("m%d", i), putFields("plain", 20000, 1), nil); reply != "+OK" {
			t.Fatal(reply)
		}
	}
	waitFor(t, "the outage in the log", func() bool {
		text, _ := os.ReadFile(filepath.Join(env["ROUTER_STATE"], walFileName))
		return strings.Contains(string(text), `"kind":"outage","id":"s-1"`)
	})
	child.kill()
	w, _ := openTestWAL(t, env["ROUTER_STATE"], 3<<20)
	found := w.outageRecords()
	if len(found) != 1 || found[0].ID != "s-1" || found[0].Outage == nil {
		t.Fatalf("outages in the log: got %+v, want one of s-1", found)
	}
	if age := clock.Since(clock.System(), clock.Instant(found[0].Outage.FirstFailureAt)); age < 0 || age > time.Hour {
		t.Errorf("outage began %v ago, want between 0 and one hour", age)
	}
	for _, listed := range []bool{true, false} {
		r := newTestRelay(t)
		r.wal = w
		applyList := func() { r.receiveList(t, &List{Revision: 1, Complete: true, Members: []Member{unreachable}}) }
		if listed {
			applyList()
		}
		r.resumeOutages(found)
		if !listed {
			applyList()
		}
		r.step()
		num := r.endpointByID("s-1").num
		outage, known := r.policy.Outage(num)
		if !known || decide.Time(r.instant(outage.FirstFailureAt)) != found[0].Outage.FirstFailureAt || len(r.unlistedOutages) != 0 {
			t.Errorf("listed at the start %v: got known %v, outage %+v, want %+v; %d not restored",
				listed, known, outage, found[0].Outage, len(r.unlistedOutages))
		}
		r.receiveList(t, &List{Revision: 2, Members: []Member{{ID: "s-1", Phase: phaseRemoved}}})
		r.step() // the policy drops the outage of a removed endpoint
		ops := w.queue.takeAll(nil)
		if len(ops) == 0 || ops[len(ops)-1].rec.Kind != recordOutage || ops[len(ops)-1].rec.Outage != nil {
			t.Errorf("after the removal of the endpoint: got %d records, want the end of the outage as the last", len(ops))
		}
	}
}

// The outages in the log must stay within their share of the disk: only the newest are kept, and those that are over
// are dropped. Messages that are owed must not be affected.
func TestOutagesAreBounded(t *testing.T) {
	const limit = 512 << 10
	dir := t.TempDir()
	w, _ := openTestWAL(t, dir, limit)
	if err := w.append(&record{Kind: recordAccepted, ID: "m", Class: "plain", Deadline: 1}, false); err != nil {
		t.Fatal(err)
	}
	const total = 5000
	for i := range total {
		outage := &decide.OutageSnapshot{Silent: true, FirstFailureAt: int64(i) + 1, LastFailureAt: int64(i) + 2}
		if err := w.append(&record{Kind: recordOutage, ID: fmt.Sprintf("s-%08d", i), Outage: outage}, false); err != nil {
			t.Fatalf("outage %d: %v", i, err)
		}
	}
	if err := w.append(&record{Kind: recordOutage, ID: fmt.Sprintf("s-%08d", total-2)}, false); err != nil {
		t.Fatal(err)
	}
	if err := w.append(&record{Kind: recordOutage, ID: "s-never"}, false); err != errNotPending {
		t.Errorf("end of an unknown outage: got error %v, want errNotOwed", err)
	}
	w.start()
	w.halt()
	w.slots.release()
	reopened, owed := openTestWAL(t, dir, limit)
	found := reopened.outageRecords()
	if want := limit/outageDiskDivisor/outageRecordBytes - 1; len(found) != want {
		t.Fatalf("got %d outages kept, want %d", len(found), want)
	}
	for i, rec := range found {
		from := total - len(found) - 1 + i
		if i == len(found)-1 {
			from = total - 1
		}
		if rec.ID != fmt.Sprintf("s-%08d", from) || rec.Outage.LastFailureAt != int64(from)+2 || !rec.Outage.Silent {
			t.Fatalf("outage %d of %d: got %+v %+v, want the newest ones that are not over", i, len(found), rec, rec.Outage)
		}
	}
	if len(owed) != 1 || owed[0].ID != "m" {
		t.Errorf("owed messages: got %+v, want m", owed)
	}
	if size, minSize := reopened.size, int64(len(found)*100); size > limit/outageDiskDivisor*2 || size < minSize {
		t.Errorf("got a log of %d bytes, want at least 100 per outage and at most twice their share", size)
	}
}
