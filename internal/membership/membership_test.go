package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
)

// take reads a list into a directory and puts it in force in steps of so many changes.
func take(t testing.TB, d *Directory, l List, most int) []Change {
	t.Helper()
	s, err := d.Stage(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range l.Members {
		if _, err := s.Entry(l.Members[i].Entry(), false); err != nil {
			t.Fatal(err)
		}
	}
	return apply(s.Commit(l.Revision, l.Complete), most)
}

func apply(u *Update, most int) (all []Change) {
	for done := false; !done; {
		all, done = u.Apply(most, all)
	}
	return all
}

// members tells what a directory holds, by destination.
func (d *Directory) members(dests int) map[int][]Member {
	got := map[int][]Member{}
	for dest := range dests {
		for _, e := range d.Endpoints(dest, nil) {
			id, addr := d.Text(e.Number)
			p := d.Attributes(e.AttributesID)
			got[dest] = append(got[dest], Member{id, addr, p.Locality, p.Flavor, e.Dest, e.Phase.String(), e.Rate})
		}
	}
	return got
}

// model is a directory as plain as can be.
type model struct {
	at    map[string]Member
	order map[int][]string
	ever  map[int]bool // named by any entry
	named map[int]bool // and at the end of a list
}

func (m *model) leave(id string) {
	if old, ok := m.at[id]; ok {
		delete(m.at, id)
		m.order[old.Cell] = slices.DeleteFunc(m.order[old.Cell], func(x string) bool { return x == id })
	}
}

func (m *model) take(l List) {
	seen := map[string]bool{}
	for _, x := range l.Members {
		seen[x.ID] = true
		old, ok := m.at[x.ID]
		if x.Phase == "removed" {
			m.leave(x.ID)
			continue
		}
		if ok && old.Cell != x.Cell {
			m.leave(x.ID)
			ok = false
		}
		if m.at[x.ID] = x; !ok {
			m.order[x.Cell] = append(m.order[x.Cell], x.ID)
		}
		m.ever[x.Cell] = true
	}
	if l.Complete {
		for id := range maps.Clone(m.at) {
			if !seen[id] {
				m.leave(id)
			}
		}
	}
	for _, x := range m.at {
		m.named[x.Cell] = true
	}
}

func (m *model) members() map[int][]Member {
	all := map[int][]Member{}
	for dest, ids := range m.order {
		for _, id := range ids {
			all[dest] = append(all[dest], m.at[id])
		}
	}
	return all
}

// TestDirectoryAgainstModel plays lists, changes and lists that are given up, with
// long and short ids, moves, repeats and holds, against a plain model.
func TestDirectoryAgainstModel(t *testing.T) {
	const dests = 40
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d, m := NewDirectory(0), &model{map[string]Member{}, map[int][]string{}, map[int]bool{}, map[int]bool{}}
		draw := func() List {
			l := List{Revision: rng.Int64N(1000), Complete: rng.IntN(4) == 0}
			for range rng.IntN(120) {
				n := rng.IntN(150)
				x := Member{ID: fmt.Sprintf("s-%08x", n), HostPort: fmt.Sprintf("10.0.%d.%d:%d", n%3, n, 6379+rng.IntN(2)),
					Locality: string(rune('a' + n%3)), Flavor: "m", Cell: (n + rng.IntN(10)/9) % dests, Phase: "up", Size: float64(rng.IntN(50)) / 10}
				switch rng.IntN(8) {
				case 0:
					x.Phase = "draining"
				case 1:
					x.Phase = "removed"
				case 2:
					x.HostPort = fmt.Sprintf("[::1]:%d", 7000+n)
				case 3:
					x.Size = rng.Float64()
				}
				if n%7 == 0 {
					x.ID = strings.Repeat("long-", 5) + x.ID
				}
				l.Members = append(l.Members, x)
			}
			return l
		}
		held := map[Number]string{}
		for step := range 200 {
			l := draw()
			if rng.IntN(5) == 0 {
				s, _ := d.Stage(context.Background())
				for i := range l.Members {
					s.Entry(l.Members[i].Entry(), false)
				}
				s.Abort()
			} else {
				changes := take(t, d, l, 1+rng.IntN(30))
				m.take(l)
				for _, c := range changes {
					if c.Was.Number != c.Now.Number {
						t.Fatalf("seed %d step %d: %+v", seed, step, c)
					}
				}
			}
			want, got := m.members(), d.members(dests)
			for dest := range dests {
				if (len(want[dest]) > 0 || len(got[dest]) > 0) && !reflect.DeepEqual(want[dest], got[dest]) {
					t.Fatalf("seed %d step %d: destination %d\nwant %+v\ngot  %+v", seed, step, dest, want[dest], got[dest])
				}
				if got := d.Knows(dest); len(m.named) > 0 && (got && !m.ever[dest] || !got && m.named[dest]) {
					t.Fatalf("seed %d step %d: %d named: %v", seed, step, dest, got)
				}
			}
			endpoints, destinations := d.Len()
			if endpoints != len(m.at) || destinations != len(want) && destinations != len(got) {
				t.Fatalf("seed %d step %d: %d endpoints of %d destinations, want %d", seed, step, endpoints, destinations, len(m.at))
			}
			for n, id := range held { // under the same number, listed or not
				if e, ok := d.Get(n); !ok || (e.Phase == Removed) != (m.at[id].ID == "") {
					t.Fatalf("seed %d step %d: %s is held: %+v, %v", seed, step, id, e, ok)
				}
				if rng.IntN(9) == 0 {
					d.Release(n)
					delete(held, n)
				}
			}
			for _, x := range got[rng.IntN(dests)] {
				e, ok := d.Find(x.ID)
				if !ok {
					t.Fatalf("seed %d step %d: %s is not found", seed, step, x.ID)
				}
				d.Hold(e.Number)
				held[e.Number] = x.ID
			}
		}
		for n := range held {
			d.Release(n)
		}
		take(t, d, List{Complete: true}, 7)
		if uses := len(d.longIDs.indexes) + len(d.addrs.indexes) + len(d.rates.indexes) + len(d.attributes.indexes); uses > 0 || d.tableBytes != 0 {
			t.Errorf("seed %d: %d values and %d bytes left in the tables of an empty directory", seed, uses, d.tableBytes)
		}
		used := 0
		for i := range shardCount {
			used += d.idIndex.shards[i].used + d.destIndex.shards[i].used
		}
		if used > 0 {
			t.Errorf("seed %d: %d left in the indexes", seed, used)
		}
	}
}

// TestDrainBindsAsItIsRead: an endpoint that is up is known to drain before the end
// of the list that says so, also if that end never comes; nothing else is.
func TestDrainBindsAsItIsRead(t *testing.T) {
	d := NewDirectory(0)
	up := Member{ID: "s-1", HostPort: "10.0.0.1:1", Cell: 3, Phase: "up", Size: 1}
	other := Member{ID: "s-2", HostPort: "10.0.0.2:1", Cell: 3, Phase: "up", Size: 1}
	take(t, d, List{Complete: true, Members: []Member{up, other}}, 9)
	s, _ := d.Stage(context.Background())
	up.Phase, other.Size = "removed", 9
	if told, err := s.Entry(up.Entry(), true); !told || err != nil {
		t.Fatal(told, err)
	}
	s.Entry(other.Entry(), true)
	got, done := d.TakeDrained(9, nil)
	if len(got) != 1 || !done || got[0].Now.Phase != Draining || d.Endpoints(3, nil)[0].Phase != Draining || d.Endpoints(3, nil)[1].Rate != 1 {
		t.Errorf("drained %+v, now %+v", got, d.Endpoints(3, nil))
	}
	s.Abort()
	if all := d.Endpoints(3, nil); len(all) != 2 || all[0].Phase != Draining || all[1].Rate != 1 {
		t.Errorf("after a torn list: %+v", all)
	}
	s, _ = d.Stage(context.Background())
	other.Phase = "draining"
	if told, _ := s.Entry(other.Entry(), false); told || d.Endpoints(3, nil)[1].Phase != Up {
		t.Error("word of an older list bound")
	}
	s.Abort()
}

// TestFullDirectory: what does not fit is one error, and what was known stays.
func TestFullDirectory(t *testing.T) {
	d := NewDirectory(400 << 10)
	take(t, d, List{Complete: true, Members: []Member{{ID: "s-1", HostPort: "10.0.0.1:1", Cell: 3, Phase: "up"}}}, 9)
	s, _ := d.Stage(context.Background())
	var err error
	n := 0
	for ; err == nil && n < 1e6; n++ {
		_, err = s.Entry((&Member{ID: fmt.Sprint("x-", n), HostPort: "10.0.0.1:1", Cell: n, Phase: "up"}).Entry(), true)
	}
	if !errors.Is(err, ErrFull) {
		t.Fatalf("after %d entries: %v", n, err)
	}
	s.Abort()
	if endpoints, _ := d.Len(); endpoints != 1 || len(d.Endpoints(3, nil)) != 1 || d.Size() > 400<<10 {
		t.Errorf("%d endpoints, %d bytes", endpoints, d.Size())
	}
	take(t, d, List{Revision: 2, Complete: true, Members: []Member{{ID: "s-2", HostPort: "10.0.0.1:1", Cell: 4, Phase: "up"}}}, 9)
	if len(d.Endpoints(4, nil)) != 1 || len(d.Endpoints(3, nil)) != 0 || d.Revision() != 2 {
		t.Error("a list that fits is not taken afterwards")
	}
}

func TestPacking(t *testing.T) {
	for _, s := range []string{"0.0.0.0:0", "10.1.0.18:6379", "255.255.255.255:65535"} {
		if ip, port, ok := packAddr([]byte(s)); !ok || formatAddr(ip, port) != s {
			t.Errorf("%s: %v %d %v", s, ip, port, ok)
		}
	}
	for _, s := range []string{"", "10.1.0.18", "10.1.0.18:", "10.1.0.256:1", "01.1.0.18:1", "10.1.0.18:65536", "10.1.0.18:06", "[::1]:7", "a.b:1",
		"10.1.0.18:1 ", "10.1.0:18:1", "10.1.0.18:99999999999"} {
		if _, _, ok := packAddr([]byte(s)); ok {
			t.Errorf("%q was packed", s)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	packed := 0
	for range 100000 {
		v := math.Round(rng.Float64()*1e6) / math.Pow10(rng.IntN(6))
		if p, ok := packRate(v); ok {
			if packed++; unpackRate(p) != v {
				t.Fatalf("%v became %v", v, unpackRate(p))
			}
		}
	}
	if _, ok := packRate(math.NaN()); ok || packed < 90000 {
		t.Errorf("%d packed", packed)
	}
	for _, v := range []float64{-1, math.Inf(1), 1.0 / 3} {
		if _, ok := packRate(v); ok {
			t.Errorf("%v was packed", v)
		}
	}
}

type read struct {
	Header
	ids  []string
	last Entry
}

func readAll(in io.Reader, lenient bool) (got read, err error) {
	got.Header, err = Read(in, lenient, func(_ *Header, e *Entry) error {
		got.ids = append(got.ids, string(e.ID))
		got.last = *e
		return nil
	})
	return got, err
}

// TestReadList: compact, indented, in any order of keys, in pieces, with keys and
// values that nobody knows; and what is no list.
func TestReadList(t *testing.T) {
	const a = `{"id":"s-1","host_port":"10.0.0.1:1","locality":"a","flavor":"m2","cell":3,"phase":"up","size":1.5,"up_since_ms":0}`
	for name, text := range map[string]string{
		"compact":   `{"revision":41,"complete":true,"members":[` + a + `]}`,
		"any order": ` {"x":{"y":[1,"}"]},"members":[` + a + `],"complete":true,"revision":41} ` + "\n",
		"escaped":   `{"revision":41,"complete":true,"members":[` + strings.Replace(a, `"s-1"`, `"\u0073-1"`, 1) + `]}`,
	} {
		var indented bytes.Buffer
		json.Indent(&indented, []byte(text), "", "  ")
		for _, text := range []string{text, indented.String()} {
			got, err := readAll(iotest.OneByteReader(strings.NewReader(text)), false)
			if err != nil || got.Header != (Header{41, true, true}) || len(got.ids) != 1 || got.ids[0] != "s-1" || got.last.Dest != 3 ||
				got.last.Rate != 1.5 || string(got.last.HostPort) != "10.0.0.1:1" || got.last.Phase != Up {
				t.Errorf("%s: %+v, %v", name, got, err)
			}
		}
	}
	twice := strings.Replace(a, `"id":"s-1",`, `"id":"s-0","locality":"z","id":"s-1","id":null,`, 1)
	if got, err := readAll(strings.NewReader(`{"members":[`+twice+`]}`), false); err != nil || len(got.ids) != 1 || got.ids[0] != "s-1" ||
		string(got.last.Locality) != "a" {
		t.Errorf("keys named twice: %+v, %v", got, err)
	}
	bad := strings.Replace(a, `"up"`, `"asleep"`, 1)
	for name, text := range map[string]string{
		"empty": "", "cut": `{"revision":41,"members":[` + a, "no members": `{"revision":41}`, "null members": `{"members":null}`,
		"two": `{"members":[]}{"members":[]}`, "behind": `{"members":[]}x`, "open behind": `{"members":[]}{`, "wrong type": `{"members":[{"id":7}]}`,
		"phase": `{"members":[` + bad + `]}`, "no id": `{"members":[{"phase":"up"}]}`, "no place": `{"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`,
		"cell": `{"members":[{"id":"s-1","phase":"up","host_port":"a:1","cell":-1}]}`, "long": `{"members":[{"id":"` + strings.Repeat("x", maxTextBytes+1) + `","phase":"removed"}]}`,
	} {
		if got, err := readAll(strings.NewReader(text), false); err == nil {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if got, err := readAll(strings.NewReader(`{"members":[`+bad+`,`+a+`]}`), true); err != nil || len(got.ids) != 1 {
		t.Errorf("lenient: %+v, %v", got, err)
	}
}

// TestLines: what a watch brings, and how it may break.
func TestLines(t *testing.T) {
	const one, two = `{"revision":1,"members":[]}`, "{\n  \"revision\": 2,\n  \"members\": []\n}"
	long := `{"revision":3,"members":[` + strings.TrimRight(strings.Repeat(`{"id":"s-1","phase":"removed"},`, 20000), ",") + "]}"
	for name, x := range map[string]struct {
		text string
		want string // e: empty, digits: revisions, b: bad, t: torn
	}{
		"both":           {"\n" + one + "\n \r\n" + two + "\n" + one + "\n\n", "e1e21e"},
		"torn":           {one + "\n" + one, "1t"},
		"torn indented":  {two[:9], "t"},
		"bad line":       {`{"revision":1,"members":[` + "\n" + one + "\n", "b"},
		"no end":         {"{\n \"revision\": 1,\n{\n", "b"},
		"blank inside":   {"{\n \"revision\": 1,\n\n", "b"},
		"long":           {long + "\n" + one + "\n", "31"},
		"long, torn":     {long, "t"},
		"text behind it": {one + "x\n", "b"},
	} {
		going := 0
		l := NewWatchReader(strings.NewReader(x.text), func() { going++ })
		got := ""
		for !strings.ContainsAny(got, "bt") {
			list, err := l.Next()
			if err != nil {
				break
			}
			if !list {
				got += "e"
				continue
			}
			r, err := readAll(l, false)
			switch {
			case err == nil:
				got += fmt.Sprint(r.Revision)
			case l.StreamErr() != nil:
				got += "t"
			default:
				got += "b"
			}
		}
		if got != x.want {
			t.Errorf("%s: %s, want %s", name, got, x.want)
		}
		if strings.HasPrefix(name, "long") && going < len(long)/readBufferSize-1 {
			t.Errorf("%s: said to go on %d times", name, going)
		}
	}
}

// text gives the list of so many destinations of two endpoints each, made as it is read.
func text(dests int, change func(i int, m *Member)) io.Reader {
	in, out := io.Pipe()
	go func() {
		fmt.Fprint(out, `{"revision":41,"complete":true,"members":[`)
		b := make([]byte, 0, 64<<10)
		quoted := func(key, v string) {
			b = append(append(append(append(append(b, ",\""...), key...), "\":\""...), v...), '"')
		}
		number := func(key string, v int) {
			b = strconv.AppendInt(append(append(append(b, ",\""...), key...), "\":"...), int64(v), 10)
		}
		for i := range 2 * dests {
			m := Member{"s-" + strconv.Itoa(10_000_000+i), formatAddr([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}, 6379), "a", "m2", i / 2, "up", 25}
			if change != nil {
				change(i, &m)
			}
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, `{"up_since_ms":0`...)
			quoted("id", m.ID)
			quoted("host_port", m.HostPort)
			quoted("locality", m.Locality)
			quoted("flavor", m.Flavor)
			number("cell", m.Cell)
			quoted("phase", m.Phase)
			number("size", int(m.Size))
			if b = append(b, '}'); len(b) > 32<<10 || i == 2*dests-1 {
				out.Write(b)
				b = b[:0]
			}
		}
		fmt.Fprint(out, "]}")
		out.Close()
	}()
	return in
}

func takeText(t testing.TB, d *Directory, in io.Reader) []Change {
	s, err := d.Stage(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	h, err := Read(in, false, func(_ *Header, e *Entry) error { _, err := s.Entry(e, false); return err })
	if err != nil {
		t.Fatal(err)
	}
	u := s.Commit(h.Revision, h.Complete)
	var all, some []Change
	for done := false; !done; {
		some, done = u.Apply(512, some[:0])
		if len(all) < 1000 {
			all = append(all, some...)
		}
	}
	return all
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestListedDestinationIsSmall: a destination of two endpoints takes under 100 bytes at
// every size, as the heap has it and as the directory counts it, and the list again with
// one entry changed brings that change and takes no more.
func TestListedDestinationIsSmall(t *testing.T) {
	for _, dests := range []int{20_000, 100_000, 880_000} {
		before := heap()
		d := NewDirectory(0)
		takeText(t, d, text(dests, nil))
		used := heap() - before
		t.Logf("%d destinations: %.1f bytes each on the heap, %.1f counted", dests, float64(used)/float64(dests), float64(d.Size())/float64(dests))
		if used > int64(dests)*100 || d.Size() > int64(dests)*100 || d.Size() < used*9/10 {
			t.Errorf("%d destinations take %d bytes, %d are counted", dests, used, d.Size())
		}
		size := d.Size()
		changes := takeText(t, d, text(dests, func(i int, m *Member) {
			if i == dests {
				m.Phase = "draining"
			}
		}))
		if len(changes) != 1 || changes[0].Now.Phase != Draining || changes[0].Now.Dest != dests/2 || d.Size() != size {
			t.Errorf("one entry differs: %+v, %d bytes more", changes, d.Size()-size)
		}
		if endpoints, destinations := d.Len(); endpoints != 2*dests || destinations != dests {
			t.Errorf("%d endpoints of %d destinations", endpoints, destinations)
		}
	}
}

// TestGrowthIsGradual: no entry moves more than a small part of an index, however long it is.
func TestGrowthIsGradual(t *testing.T) {
	x, most := &index{}, 0
	hash := func(slot uint32) uint64 { return mixHash(uint64(slot)) }
	for slot := range uint32(500_000) {
		moved := 0
		x.put(hash(slot), slot, func(s uint32) uint64 { moved++; return hash(s) })
		most = max(most, moved)
	}
	if most > 500_000/100 {
		t.Errorf("%d of 500,000 entries moved at once", most)
	}
	for slot := range uint32(500_000) {
		if got, ok := x.find(hash(slot), func(s uint32) bool { return s == slot }); !ok || got != slot {
			t.Fatalf("%d is not found", slot)
		}
		if slot%3 == 0 {
			x.remove(hash(slot), slot, hash)
		}
	}
	for slot := range uint32(500_000) {
		if _, ok := x.find(hash(slot), func(s uint32) bool { return s == slot }); ok != (slot%3 != 0) {
			t.Fatalf("%d found: %v", slot, ok)
		}
	}
}

func BenchmarkReadList(b *testing.B) {
	all, _ := io.ReadAll(text(100_000, nil))
	b.SetBytes(int64(len(all)))
	for name, d := range map[string]*Directory{"known": NewDirectory(0), "new": nil} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				x := d
				if x == nil {
					x = NewDirectory(0)
				}
				takeText(b, x, bytes.NewReader(all))
			}
		})
	}
}

// A change of one entry costs what it changes, whatever else is listed: bytes are counted, not time.
func TestChangeCostsWhatItChanges(t *testing.T) {
	each := func(dests int) float64 {
		d := NewDirectory(0)
		l := List{Revision: 1, Complete: true}
		for i := range dests {
			l.Members = append(l.Members, Member{ID: fmt.Sprintf("s-%08x", i), HostPort: "10.1.2.3:80", Locality: "a", Flavor: "k", Cell: i, Phase: "up", Size: 1})
		}
		take(t, d, l, 512)
		const changes = 200
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for n := range changes {
			x := l.Members[dests-1-n]
			x.Phase = "draining"
			if got := take(t, d, List{Revision: int64(n + 2), Members: []Member{x}}, 512); len(got) != 1 {
				t.Fatalf("%d changes", len(got))
			}
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / changes
	}
	few, many := each(1000), each(200000)
	t.Logf("%.0f bytes a change of one entry with 1,000 listed, %.0f with 200,000", few, many)
	if many > 1.5*few {
		t.Errorf("%.0f bytes a change of one entry with 1,000 listed, %.0f with 200,000", few, many)
	}
}
