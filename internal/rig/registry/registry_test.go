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

type gotList struct {
	Revision int64
	Complete bool
	Members  []struct {
		ID, Phase string
		HostPort  string `json:"host_port"`
		Cell      int
	}
}

// up lists the ids that are up after a list.
func (l *gotList) up(into map[string]bool) map[string]bool {
	for _, m := range l.Members {
		if into[m.ID] = true; m.Phase != "up" {
			delete(into, m.ID)
		}
	}
	return into
}

func start(t *testing.T, s Spec) (*Registry, *Agent) {
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

// fetch gets the whole list.
func fetch(t *testing.T, a *Agent) gotList {
	t.Helper()
	resp, err := http.Get("http://" + a.Addr() + listPath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l gotList
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	return l
}

// follow opens a watch; next reads its next line that is not empty.
func follow(t *testing.T, a *Agent, from string) (next func() (gotList, error)) {
	t.Helper()
	resp, err := http.Get("http://" + a.Addr() + listPath + "?watch=1&from=" + from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	in := bufio.NewReader(resp.Body)
	return func() (l gotList, err error) {
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

// TestListAndWatch: the list names every destination, a watch brings what changed since its version or else the
// whole list, and who has followed the changes knows what a new list says.
func TestListAndWatch(t *testing.T) {
	r, a := start(t, Spec{Destinations: 1500, Seed: 7, Shuffled: true})
	l := fetch(t, a)
	cells := map[int]int{}
	for _, m := range l.Members {
		cells[m.Cell]++
	}
	if !l.Complete || l.Revision != 1 || len(l.Members) != 3000 || len(cells) != 1500 || len(l.up(map[string]bool{})) != 3000 {
		t.Fatalf("revision %d, complete %v, %d members of %d destinations", l.Revision, l.Complete, len(l.Members), len(cells))
	}
	known := l.up(map[string]bool{})
	next := follow(t, a, "1")
	if l, err := next(); err != nil || l.Complete || len(l.Members) != 0 || l.Revision != 1 {
		t.Fatalf("first line with nothing new: %+v, %v", l, err)
	}
	r.Catalog().Apply(Change{Index: 5, Phase: Draining}, Change{Index: 6, Phase: Draining})
	r.Catalog().Replace(9)
	for rev := int64(1); rev < 3; {
		l, err := next()
		if err != nil {
			t.Fatal(err)
		}
		rev, known = l.Revision, l.up(known)
	}
	if l, err := follow(t, a, "2")(); err != nil || l.Revision != 3 || len(l.Members) != 2 {
		t.Errorf("watch from 2: %+v, %v", l, err)
	}
	for _, from := range []string{"0", "99", "x"} {
		if l, err := follow(t, a, from)(); err != nil || !l.Complete || len(l.Members) != 3000 {
			t.Errorf("watch from %s: complete %v, %d members, %v", from, l.Complete, len(l.Members), err)
		}
	}
	again := fetch(t, a)
	want := again.up(map[string]bool{})
	if len(want) != 2998 || len(known) != len(want) {
		t.Errorf("%d up after the changes, %d in a new list, want 2998", len(known), len(want))
	}
	for id := range want {
		if !known[id] {
			t.Fatalf("%s is up and was not told", id)
		}
	}
	n := r.Total(0)
	if n.Lists != 2 || n.Watches != 5 || n.ListBytes < 2*3000*100 || n.SentBytes < n.ListBytes+n.FirstBytes {
		t.Errorf("counted %+v", n)
	}
}

// TestFaults: each fault shows as what it stands for, and is over when it is over.
func TestFaults(t *testing.T) {
	_, a := start(t, Spec{Destinations: 2000, Seed: 1})
	set := func(c Condition) {
		t.Helper()
		if err := a.Set(c); err != nil {
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
	next := follow(t, a, "1")
	if _, err := next(); err != nil {
		t.Fatal(err)
	}
	set(Condition{Fault: Refused})
	if _, _, err := get(); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refused: %v", err)
	}
	if _, err := next(); err == nil {
		t.Error("a watch outlived that its connection was reset")
	}
	set(Condition{Fault: Unavailable})
	if code, _, _ := get(); code != http.StatusServiceUnavailable {
		t.Errorf("unavailable: status %d", code)
	}
	set(Condition{Fault: Torn})
	if code, n, err := get(); code != 200 || err == nil || n < full/3 || n > full*2/3 {
		t.Errorf("torn: status %d, %d of %d bytes, %v", code, n, full, err)
	}
	for _, f := range []Fault{Silent, Lost} {
		set(Condition{Fault: f})
		got := make(chan error, 1)
		go func() { _, _, err := get(); got <- err }()
		for end := time.Now().Add(20 * time.Second); a.registry.Total(0).Unanswered == int(f-Silent); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("never asked")
			}
		}
		set(Condition{Fault: None})
		if f == Lost {
			a.Reset()
		}
		if err := <-got; (err == nil) != (f == Silent) {
			t.Errorf("%v, once it is over: %v", f, err)
		}
	}
	if code, n, err := get(); code != 200 || n != full || err != nil {
		t.Errorf("afterwards: status %d, %d of %d bytes, %v", code, n, full, err)
	}
}

// TestLag: an agent that is late tells of the list as it was.
func TestLag(t *testing.T) {
	r, a := start(t, Spec{Destinations: 3, Seed: 1})
	if err := a.Set(Condition{Lag: time.Hour}); err != nil {
		t.Fatal(err)
	}
	r.Catalog().Replace(2)
	if l := fetch(t, a); l.Revision != 1 || len(l.Members) != 6 {
		t.Errorf("late: %+v", l)
	}
	next := follow(t, a, "1")
	if l, err := next(); err != nil || len(l.Members) != 0 {
		t.Errorf("late watch: %+v, %v", l, err)
	}
	if err := a.Set(Condition{}); err != nil {
		t.Fatal(err)
	}
	if l, err := next(); err != nil || l.Revision != 2 || len(l.Members) != 2 {
		t.Errorf("in time again: %+v, %v", l, err)
	}
}

// BenchmarkWhole makes the longest list.
func BenchmarkWhole(b *testing.B) {
	c, err := NewCatalog(Spec{Destinations: 880000, Seed: 1, Shuffled: true})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		n := 0
		if err := c.whole(1, func(p []byte) error { n += len(p); return nil }); err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(n))
	}
}
