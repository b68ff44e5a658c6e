package registry

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// receivedList is a full list or a line of a watch.
type receivedList struct {
	Revision int64
	Complete bool
	Members  []struct {
		ID, Phase string
		HostPort  string `json:"host_port"`
		Cell      int
	}
}

// applyTo adds the endpoints that the list reports as up to a set of ids and removes the others.
func (l *receivedList) applyTo(into map[string]bool) map[string]bool {
	for _, m := range l.Members {
		if into[m.ID] = true; m.Phase != "up" {
			delete(into, m.ID)
		}
	}
	return into
}

// startRegistry starts a registry with one agent.
func startRegistry(t *testing.T, s Spec) (*Registry, *Agent) {
	t.Helper()
	c, err := NewCatalog(s)
	if err != nil {
		t.Fatal(err)
	}
	r := New(c)
	t.Cleanup(func() { r.Close() })
	a, err := r.NewAgent("")
	if err != nil {
		t.Fatal(err)
	}
	return r, a
}

// fetchList requests the full list.
func fetchList(t *testing.T, a *Agent) receivedList {
	t.Helper()
	resp, err := http.Get("http://" + a.Addr() + listPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l receivedList
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	return l
}

// openWatch opens a watch; next returns its next line that is not empty.
func openWatch(t *testing.T, a *Agent, from string) (next func() (receivedList, error)) {
	t.Helper()
	resp, err := http.Get("http://" + a.Addr() + listPath + "?watch=1&from=" + from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	in := bufio.NewReader(resp.Body)
	return func() (l receivedList, err error) {
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return l, err
			}
			if strings.TrimSpace(line) != "" {
				return l, json.Unmarshal([]byte(line), &l)
			}
		}
	}
}

// TestListAndWatch: the full list has every destination. A watch delivers the changes since its revision, or the full
// list if the registry does not know that revision. A client that applied all changes has the same endpoints as a
// new full list.
func TestListAndWatch(t *testing.T) {
	r, a := startRegistry(t, Spec{Destinations: 1500, Seed: 7, Shuffled: true})
	l := fetchList(t, a)
	cells := map[int]int{}
	for _, m := range l.Members {
		cells[m.Cell]++
	}
	if !l.Complete || l.Revision != 1 || len(l.Members) != 3000 || len(cells) != 1500 ||
		len(l.applyTo(map[string]bool{})) != 3000 {
		t.Fatalf("got revision %d, complete %v, %d members of %d destinations; want 1, true, 3000 up, 1500",
			l.Revision, l.Complete, len(l.Members), len(cells))
	}
	known := l.applyTo(map[string]bool{})
	next := openWatch(t, a, "1")
	if l, err := next(); err != nil || l.Complete || len(l.Members) != 0 || l.Revision != 1 {
		t.Fatalf("watch without changes: got first line %+v, error %v; want an empty delta of revision 1", l, err)
	}
	r.Catalog().Apply(Change{Index: 5, Phase: Draining}, Change{Index: 6, Phase: Draining})
	r.Catalog().Replace(9)
	for rev := int64(1); rev < 3; {
		l, err := next()
		if err != nil {
			t.Fatal(err)
		}
		rev, known = l.Revision, l.applyTo(known)
	}
	if l, err := openWatch(t, a, "2")(); err != nil || l.Revision != 3 || len(l.Members) != 2 {
		t.Errorf("watch from 2: got %+v, error %v; want 2 members of revision 3", l, err)
	}
	for _, from := range []string{"0", "99", "x"} {
		if l, err := openWatch(t, a, from)(); err != nil || !l.Complete || len(l.Members) != 3000 {
			t.Errorf("watch from %s: got complete %v, %d members, error %v; want the full list",
				from, l.Complete, len(l.Members), err)
		}
	}
	again := fetchList(t, a)
	want := again.applyTo(map[string]bool{})
	if len(want) != 2998 || len(known) != len(want) {
		t.Errorf("got %d endpoints up after the changes and %d in a new list, want 2998", len(known), len(want))
	}
	for id := range want {
		if !known[id] {
			t.Fatalf("%s is up in the new list, but not after the changes", id)
		}
	}
	counts := r.Total(0)
	if counts.Lists != 2 || counts.Watches != 5 || counts.ListBytes < 2*3000*100 ||
		counts.SentBytes < counts.ListBytes+counts.FirstLineBytes {
		t.Errorf("got counts %+v", counts)
	}
}

// TestFaults: each fault has its effect on requests, and no effect after it ends.
func TestFaults(t *testing.T) {
	_, a := startRegistry(t, Spec{Destinations: 2000, Seed: 1})
	set := func(c Condition) {
		t.Helper()
		if err := a.SetCondition(c); err != nil {
			t.Fatal(err)
		}
	}
	get := func() (int, int, error) {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + a.Addr() + listPath)
		if err != nil {
			return 0, 0, err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, len(b), err
	}
	_, full, err := get()
	if err != nil {
		t.Fatal(err)
	}
	next := openWatch(t, a, "1")
	if _, err := next(); err != nil {
		t.Fatal(err)
	}
	set(Condition{Fault: Refused})
	if _, _, err := get(); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refused: got error %v, want a refused connection", err)
	}
	if _, err := next(); err == nil {
		t.Error("a watch survived the reset of its connection")
	}
	set(Condition{Fault: Unavailable})
	if code, _, _ := get(); code != http.StatusServiceUnavailable {
		t.Errorf("unavailable: got status %d, want 503", code)
	}
	set(Condition{Fault: Torn})
	if code, n, err := get(); code != 200 || err == nil || n < full/3 || n > full*2/3 {
		t.Errorf("torn: got status %d, %d of %d bytes, error %v; want 200, about half of the bytes, an error",
			code, n, full, err)
	}
	for _, f := range []Fault{Silent, Lost} {
		set(Condition{Fault: f})
		got := make(chan error, 1)
		go func() { _, _, err := get(); got <- err }()
		for end := time.Now().Add(20 * time.Second); a.registry.Total(0).Unanswered == int(f-Silent); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the request did not arrive within 20s")
			}
		}
		set(Condition{Fault: None})
		if f == Lost {
			a.Reset()
		}
		if err := <-got; (err == nil) != (f == Silent) {
			t.Errorf("%v: got error %v after the fault ended", f, err)
		}
	}
	if code, n, err := get(); code != 200 || n != full || err != nil {
		t.Errorf("after all faults: got status %d, %d of %d bytes, error %v", code, n, full, err)
	}
}

// TestLaggingAgent: an agent that lags serves the list as it was, and the changes since once it no longer lags.
func TestLaggingAgent(t *testing.T) {
	r, a := startRegistry(t, Spec{Destinations: 3, Seed: 1})
	if err := a.SetCondition(Condition{Lag: time.Hour}); err != nil {
		t.Fatal(err)
	}
	r.Catalog().Replace(2)
	if l := fetchList(t, a); l.Revision != 1 || len(l.Members) != 6 {
		t.Errorf("lagging list: got %+v, want the 6 members of revision 1", l)
	}
	next := openWatch(t, a, "1")
	if l, err := next(); err != nil || len(l.Members) != 0 {
		t.Errorf("lagging watch: got %+v, error %v; want an empty delta", l, err)
	}
	if err := a.SetCondition(Condition{}); err != nil {
		t.Fatal(err)
	}
	if l, err := next(); err != nil || l.Revision != 2 || len(l.Members) != 2 {
		t.Errorf("watch without lag: got %+v, error %v; want 2 members of revision 2", l, err)
	}
}

// BenchmarkWriteFullList measures writing a list of 880000 destinations, the longest that the rig uses.
func BenchmarkWriteFullList(b *testing.B) {
	c, err := NewCatalog(Spec{Destinations: 880000, Seed: 1, Shuffled: true})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		n := 0
		if err := c.writeFullList(1, func(p []byte) error { n += len(p); return nil }); err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(n))
	}
}
