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

// applyList stages a list and puts it in force in steps of maxChanges changes.
func applyList(t testing.TB, d *Directory, list List, maxChanges int) []Change {
	t.Helper()
	stage, err := d.Stage(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for i := range list.Members {
		if _, err := stage.Entry(list.Members[i].Entry(), false); err != nil {
			t.Fatal(err)
		}
	}
	return applyUpdate(stage.Commit(list.Revision, list.Complete), maxChanges)
}

func applyUpdate(update *Update, maxChanges int) (changes []Change) {
	for done := false; !done; {
		changes, done = update.Apply(maxChanges, changes)
	}
	return changes
}

// membersByDest returns the members of a directory by destination.
func (d *Directory) membersByDest(dests int) map[int][]Member {
	got := map[int][]Member{}
	for dest := range dests {
		for _, endpoint := range d.Endpoints(dest, nil) {
			id, addr := d.Text(endpoint.Number)
			attributes := d.Attributes(endpoint.AttributesID)
			got[dest] = append(got[dest], Member{id, addr, attributes.Locality, attributes.Flavor, endpoint.Dest,
				endpoint.Phase.String(), endpoint.Rate})
		}
	}
	return got
}

// model is a simple reference implementation of a directory.
type model struct {
	byID       map[string]Member
	order      map[int][]string
	everNamed  map[int]bool // destinations that an entry has named
	namedAtEnd map[int]bool // destinations that had an endpoint after a whole list
}

func (m *model) remove(id string) {
	if old, ok := m.byID[id]; ok {
		delete(m.byID, id)
		m.order[old.Cell] = slices.DeleteFunc(m.order[old.Cell], func(x string) bool { return x == id })
	}
}

func (m *model) apply(list List) {
	listed := map[string]bool{}
	for _, member := range list.Members {
		listed[member.ID] = true
		old, ok := m.byID[member.ID]
		if member.Phase == "removed" {
			m.remove(member.ID)
			continue
		}
		if ok && old.Cell != member.Cell {
			m.remove(member.ID)
			ok = false
		}
		if m.byID[member.ID] = member; !ok {
			m.order[member.Cell] = append(m.order[member.Cell], member.ID)
		}
		m.everNamed[member.Cell] = true
	}
	if list.Complete {
		for id := range maps.Clone(m.byID) {
			if !listed[id] {
				m.remove(id)
			}
		}
	}
	for _, member := range m.byID {
		m.namedAtEnd[member.Cell] = true
	}
}

func (m *model) membersByDest() map[int][]Member {
	all := map[int][]Member{}
	for dest, ids := range m.order {
		for _, id := range ids {
			all[dest] = append(all[dest], m.byID[id])
		}
	}
	return all
}

// TestDirectoryAgainstModel compares a directory with the model over random full lists, deltas and aborted lists. They
// have long and short ids, repeated entries and endpoints that change their destination, and some endpoints are held.
func TestDirectoryAgainstModel(t *testing.T) {
	const dests = 40
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d, m := NewDirectory(0), &model{map[string]Member{}, map[int][]string{}, map[int]bool{}, map[int]bool{}}
		randomList := func() List {
			list := List{Revision: rng.Int64N(1000), Complete: rng.IntN(4) == 0}
			for range rng.IntN(120) {
				n := rng.IntN(150)
				member := Member{ID: fmt.Sprintf("s-%08x", n), HostPort: fmt.Sprintf("10.0.%d.%d:%d", n%3, n, 6379+rng.IntN(2)),
					Locality: string(rune('a' + n%3)), Flavor: "m", Cell: (n + rng.IntN(10)/9) % dests, Phase: "up",
					Size: float64(rng.IntN(50)) / 10}
				switch rng.IntN(8) {
				case 0:
					member.Phase = "draining"
				case 1:
					member.Phase = "removed"
				case 2:
					member.HostPort = fmt.Sprintf("[::1]:%d", 7000+n)
				case 3:
					member.Size = rng.Float64()
				}
				if n%7 == 0 {
					member.ID = strings.Repeat("long-", 5) + member.ID
				}
				list.Members = append(list.Members, member)
			}
			return list
		}
		held := map[Number]string{}
		for step := range 200 {
			list := randomList()
			if rng.IntN(5) == 0 {
				stage, _ := d.Stage(context.Background())
				for i := range list.Members {
					stage.Entry(list.Members[i].Entry(), false)
				}
				stage.Abort()
			} else {
				changes := applyList(t, d, list, 1+rng.IntN(30))
				m.apply(list)
				for _, change := range changes {
					if change.Was.Number != change.Now.Number {
						t.Fatalf("seed %d step %d: change %+v, want the same number in Was and Now", seed, step, change)
					}
				}
			}
			want, got := m.membersByDest(), d.membersByDest(dests)
			for dest := range dests {
				if (len(want[dest]) > 0 || len(got[dest]) > 0) && !reflect.DeepEqual(want[dest], got[dest]) {
					t.Fatalf("seed %d step %d: destination %d\nwant %+v\ngot  %+v", seed, step, dest, want[dest], got[dest])
				}
				if got := d.Knows(dest); len(m.namedAtEnd) > 0 && (got && !m.everNamed[dest] || !got && m.namedAtEnd[dest]) {
					t.Fatalf("seed %d step %d: destination %d: got known %v, want the opposite", seed, step, dest, got)
				}
			}
			endpoints, destinations := d.Len()
			if endpoints != len(m.byID) || destinations != len(want) && destinations != len(got) {
				t.Fatalf("seed %d step %d: got %d endpoints of %d destinations, want %d endpoints",
					seed, step, endpoints, destinations, len(m.byID))
			}
			for n, id := range held { // held endpoints keep their number, listed or not
				if e, ok := d.Get(n); !ok || (e.Phase == Removed) != (m.byID[id].ID == "") {
					t.Fatalf("seed %d step %d: held endpoint %s: got %+v, found %v; want Removed if it is not listed",
						seed, step, id, e, ok)
				}
				if rng.IntN(9) == 0 {
					d.Release(n)
					delete(held, n)
				}
			}
			for _, member := range got[rng.IntN(dests)] {
				e, ok := d.Find(member.ID)
				if !ok {
					t.Fatalf("seed %d step %d: Find does not find %s", seed, step, member.ID)
				}
				d.Hold(e.Number)
				held[e.Number] = member.ID
			}
		}
		for n := range held {
			d.Release(n)
		}
		applyList(t, d, List{Complete: true}, 7)
		if values := len(d.longIDs.indexes) + len(d.addrs.indexes) + len(d.rates.indexes) +
			len(d.attributes.indexes); values > 0 || d.tableBytes != 0 {
			t.Errorf("seed %d: tables of an empty directory hold %d values and %d bytes, want none", seed, values, d.tableBytes)
		}
		used := 0
		for i := range shardCount {
			used += d.idIndex.shards[i].used + d.destIndex.shards[i].used
		}
		if used > 0 {
			t.Errorf("seed %d: indexes of an empty directory hold %d slots, want none", seed, used)
		}
	}
}

// TestDrainAppliesWhileListIsRead checks that a drain or removal takes effect when its entry is read, even if the list
// is aborted later. Other changes must wait for the end of the list, and a drain in an older list must not apply.
func TestDrainAppliesWhileListIsRead(t *testing.T) {
	d := NewDirectory(0)
	member := Member{ID: "s-1", HostPort: "10.0.0.1:1", Cell: 3, Phase: "up", Size: 1}
	other := Member{ID: "s-2", HostPort: "10.0.0.2:1", Cell: 3, Phase: "up", Size: 1}
	applyList(t, d, List{Complete: true, Members: []Member{member, other}}, 9)
	stage, _ := d.Stage(context.Background())
	member.Phase, other.Size = "removed", 9
	if drains, err := stage.Entry(member.Entry(), true); !drains || err != nil {
		t.Fatal(drains, err)
	}
	stage.Entry(other.Entry(), true)
	got, done := d.TakeDrained(9, nil)
	if len(got) != 1 || !done || got[0].Now.Phase != Draining || d.Endpoints(3, nil)[0].Phase != Draining ||
		d.Endpoints(3, nil)[1].Rate != 1 {
		t.Errorf("got drains %+v and endpoints %+v, want only s-1 draining", got, d.Endpoints(3, nil))
	}
	stage.Abort()
	if all := d.Endpoints(3, nil); len(all) != 2 || all[0].Phase != Draining || all[1].Rate != 1 {
		t.Errorf("endpoints after an aborted list: got %+v, want s-1 draining and s-2 unchanged", all)
	}
	stage, _ = d.Stage(context.Background())
	other.Phase = "draining"
	if drains, _ := stage.Entry(other.Entry(), false); drains || d.Endpoints(3, nil)[1].Phase != Up {
		t.Error("a drain in an older list has taken effect")
	}
	stage.Abort()
}

// TestFullDirectory checks that a list that does not fit returns ErrFull and leaves the directory as it was, and that
// a list that fits is accepted afterwards.
func TestFullDirectory(t *testing.T) {
	d := NewDirectory(400 << 10)
	applyList(t, d, List{Complete: true, Members: []Member{{ID: "s-1", HostPort: "10.0.0.1:1", Cell: 3, Phase: "up"}}}, 9)
	stage, _ := d.Stage(context.Background())
	var err error
	n := 0
	for ; err == nil && n < 1e6; n++ {
		_, err = stage.Entry((&Member{ID: fmt.Sprint("x-", n), HostPort: "10.0.0.1:1", Cell: n, Phase: "up"}).Entry(), true)
	}
	if !errors.Is(err, ErrFull) {
		t.Fatalf("after %d entries: got error %v, want ErrFull", n, err)
	}
	stage.Abort()
	if endpoints, _ := d.Len(); endpoints != 1 || len(d.Endpoints(3, nil)) != 1 || d.Size() > 400<<10 {
		t.Errorf("after the aborted list: got %d endpoints in %d bytes, want 1 within the limit", endpoints, d.Size())
	}
	applyList(t, d, List{Revision: 2, Complete: true, Members: []Member{{ID: "s-2", HostPort: "10.0.0.1:1", Cell: 4, Phase: "up"}}}, 9)
	if len(d.Endpoints(4, nil)) != 1 || len(d.Endpoints(3, nil)) != 0 || d.Revision() != 2 {
		t.Error("a list that fits is not accepted afterwards")
	}
}

func TestPacking(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", "10.1.0.18:6379", "255.255.255.255:65535"} {
		if ip, port, ok := packAddr([]byte(addr)); !ok || formatAddr(ip, port) != addr {
			t.Errorf("packAddr(%s): got %v, %d, %v, which formatAddr does not turn back", addr, ip, port, ok)
		}
	}
	for _, addr := range []string{"", "10.1.0.18", "10.1.0.18:", "10.1.0.256:1", "01.1.0.18:1", "10.1.0.18:65536", "10.1.0.18:06", "[::1]:7", "a.b:1",
		"10.1.0.18:1 ", "10.1.0:18:1", "10.1.0.18:99999999999"} {
		if _, _, ok := packAddr([]byte(addr)); ok {
			t.Errorf("packAddr(%q) succeeded, want failure", addr)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	packed := 0
	for range 100000 {
		rate := math.Round(rng.Float64()*1e6) / math.Pow10(rng.IntN(6))
		if packedRate, ok := packRate(rate); ok {
			if packed++; unpackRate(packedRate) != rate {
				t.Fatalf("rate %v is %v after unpacking", rate, unpackRate(packedRate))
			}
		}
	}
	if _, ok := packRate(math.NaN()); ok || packed < 90000 {
		t.Errorf("packed %d of 100000 rates, want at least 90000 and not NaN", packed)
	}
	for _, rate := range []float64{-1, math.Inf(1), 1.0 / 3} {
		if _, ok := packRate(rate); ok {
			t.Errorf("packRate(%v) succeeded, want failure", rate)
		}
	}
}

type readResult struct {
	Header
	ids       []string
	lastEntry Entry
}

func readAll(in io.Reader, lenient bool) (got readResult, err error) {
	got.Header, err = Read(in, lenient, func(_ *Header, e *Entry) error {
		got.ids = append(got.ids, string(e.ID))
		got.lastEntry = *e
		return nil
	})
	return got, err
}

// TestReadList checks the forms of a valid list: compact or indented, keys in any order, escaped strings, unknown
// keys, and input byte by byte. It also checks that each kind of malformed list is an error.
func TestReadList(t *testing.T) {
	const entry = `{"id":"s-1","host_port":"10.0.0.1:1","locality":"a","flavor":"m2","cell":3,"phase":"up","size":1.5,"up_since_ms":0}`
	for name, text := range map[string]string{
		"compact":   `{"revision":41,"complete":true,"members":[` + entry + `]}`,
		"any order": ` {"x":{"y":[1,"}"]},"members":[` + entry + `],"complete":true,"revision":41} ` + "\n",
		"escaped":   `{"revision":41,"complete":true,"members":[` + strings.Replace(entry, `"s-1"`, `"\u0073-1"`, 1) + `]}`,
	} {
		var indented bytes.Buffer
		json.Indent(&indented, []byte(text), "", "  ")
		for _, text := range []string{text, indented.String()} {
			got, err := readAll(iotest.OneByteReader(strings.NewReader(text)), false)
			if err != nil || got.Header != (Header{41, true, true}) || len(got.ids) != 1 || got.ids[0] != "s-1" || got.lastEntry.Dest != 3 ||
				got.lastEntry.Rate != 1.5 || string(got.lastEntry.HostPort) != "10.0.0.1:1" || got.lastEntry.Phase != Up {
				t.Errorf("%s: got %+v, error %v; want the one entry of revision 41", name, got, err)
			}
		}
	}
	repeated := strings.Replace(entry, `"id":"s-1",`, `"id":"s-0","locality":"z","id":"s-1","id":null,`, 1)
	if got, err := readAll(strings.NewReader(`{"members":[`+repeated+`]}`), false); err != nil || len(got.ids) != 1 || got.ids[0] != "s-1" ||
		string(got.lastEntry.Locality) != "a" {
		t.Errorf("repeated keys: got %+v, error %v; want the last value of each", got, err)
	}
	badPhase := strings.Replace(entry, `"up"`, `"asleep"`, 1)
	for name, text := range map[string]string{
		"empty": "", "truncated": `{"revision":41,"members":[` + entry, "no members": `{"revision":41}`, "null members": `{"members":null}`,
		"two lists": `{"members":[]}{"members":[]}`, "trailing data": `{"members":[]}x`, "trailing brace": `{"members":[]}{`, "wrong type": `{"members":[{"id":7}]}`,
		"phase": `{"members":[` + badPhase + `]}`, "no id": `{"members":[{"phase":"up"}]}`, "bad address": `{"members":[{"id":"s-1","phase":"up","host_port":"nowhere"}]}`,
		"cell": `{"members":[{"id":"s-1","phase":"up","host_port":"a:1","cell":-1}]}`, "long id": `{"members":[{"id":"` + strings.Repeat("x", maxTextBytes+1) + `","phase":"removed"}]}`,
	} {
		if got, err := readAll(strings.NewReader(text), false); err == nil {
			t.Errorf("%s: got %+v, want an error", name, got)
		}
	}
	if got, err := readAll(strings.NewReader(`{"members":[`+badPhase+`,`+entry+`]}`), true); err != nil || len(got.ids) != 1 {
		t.Errorf("lenient: got %+v, error %v; want the valid entry only", got, err)
	}
}

// TestWatchReader checks which lists and empty lines are read from a watch, and how malformed and truncated lists end
// it.
func TestWatchReader(t *testing.T) {
	const compact, indented = `{"revision":1,"members":[]}`, "{\n  \"revision\": 2,\n  \"members\": []\n}"
	long := `{"revision":3,"members":[` + strings.TrimRight(strings.Repeat(`{"id":"s-1","phase":"removed"},`, 20000), ",") + "]}"
	for name, test := range map[string]struct {
		text string
		want string // e: empty line, digit: revision of a list, b: malformed list, t: truncated list
	}{
		"both forms":         {"\n" + compact + "\n \r\n" + indented + "\n" + compact + "\n\n", "e1e21e"},
		"truncated":          {compact + "\n" + compact, "1t"},
		"truncated indented": {indented[:9], "t"},
		"line without end":   {`{"revision":1,"members":[` + "\n" + compact + "\n", "b"},
		"second start":       {"{\n \"revision\": 1,\n{\n", "b"},
		"empty line inside":  {"{\n \"revision\": 1,\n\n", "b"},
		"long":               {long + "\n" + compact + "\n", "31"},
		"long, truncated":    {long, "t"},
		"trailing text":      {compact + "x\n", "b"},
	} {
		progressCalls := 0
		reader := NewWatchReader(strings.NewReader(test.text), func() { progressCalls++ })
		got := ""
		for !strings.ContainsAny(got, "bt") {
			list, err := reader.Next()
			if err != nil {
				break
			}
			if !list {
				got += "e"
				continue
			}
			result, err := readAll(reader, false)
			switch {
			case err == nil:
				got += fmt.Sprint(result.Revision)
			case reader.StreamErr() != nil:
				got += "t"
			default:
				got += "b"
			}
		}
		if got != test.want {
			t.Errorf("%s: got %s, want %s", name, got, test.want)
		}
		if strings.HasPrefix(name, "long") && progressCalls < len(long)/readBufferSize-1 {
			t.Errorf("%s: got %d calls of onProgress, want one for each full buffer", name, progressCalls)
		}
	}
}

// generateList returns a full list of dests destinations with two endpoints each. It is generated while it is read.
func generateList(dests int, modify func(i int, member *Member)) io.Reader {
	in, out := io.Pipe()
	go func() {
		fmt.Fprint(out, `{"revision":41,"complete":true,"members":[`)
		buf := make([]byte, 0, 64<<10)
		appendString := func(key, value string) {
			buf = append(append(append(append(append(buf, ",\""...), key...), "\":\""...), value...), '"')
		}
		appendNumber := func(key string, value int) {
			buf = strconv.AppendInt(append(append(append(buf, ",\""...), key...), "\":"...), int64(value), 10)
		}
		for i := range 2 * dests {
			member := Member{"s-" + strconv.Itoa(10_000_000+i), formatAddr([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}, 6379), "a", "m2", i / 2, "up", 25}
			if modify != nil {
				modify(i, &member)
			}
			if i > 0 {
				buf = append(buf, ',')
			}
			buf = append(buf, `{"up_since_ms":0`...)
			appendString("id", member.ID)
			appendString("host_port", member.HostPort)
			appendString("locality", member.Locality)
			appendString("flavor", member.Flavor)
			appendNumber("cell", member.Cell)
			appendString("phase", member.Phase)
			appendNumber("size", int(member.Size))
			if buf = append(buf, '}'); len(buf) > 32<<10 || i == 2*dests-1 {
				out.Write(buf)
				buf = buf[:0]
			}
		}
		fmt.Fprint(out, "]}")
		out.Close()
	}()
	return in
}

func readAndApply(t testing.TB, d *Directory, in io.Reader) []Change {
	stage, err := d.Stage(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	header, err := Read(in, false, func(_ *Header, e *Entry) error { _, err := stage.Entry(e, false); return err })
	if err != nil {
		t.Fatal(err)
	}
	update := stage.Commit(header.Revision, header.Complete)
	var first, step []Change
	for done := false; !done; {
		step, done = update.Apply(512, step[:0])
		if len(first) < 1000 {
			first = append(first, step...)
		}
	}
	return first
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestMemoryPerDestination checks that a destination with two endpoints takes at most 100 bytes at every list size,
// both on the heap and as the directory counts it. Reading the list again with one entry changed must yield one change
// and take no more memory.
func TestMemoryPerDestination(t *testing.T) {
	for _, dests := range []int{20_000, 100_000, 880_000} {
		before := heapBytes()
		d := NewDirectory(0)
		readAndApply(t, d, generateList(dests, nil))
		used := heapBytes() - before
		t.Logf("%d destinations: %.1f bytes each on the heap, %.1f counted", dests,
			float64(used)/float64(dests), float64(d.Size())/float64(dests))
		if used > int64(dests)*100 || d.Size() > int64(dests)*100 || d.Size() < used*9/10 {
			t.Errorf("%d destinations: got %d bytes on the heap and %d counted, want up to 100 each, 9/10 counted",
				dests, used, d.Size())
		}
		size := d.Size()
		changes := readAndApply(t, d, generateList(dests, func(i int, m *Member) {
			if i == dests {
				m.Phase = "draining"
			}
		}))
		if len(changes) != 1 || changes[0].Now.Phase != Draining || changes[0].Now.Dest != dests/2 || d.Size() != size {
			t.Errorf("list with one changed entry: got changes %+v and %d bytes more, want one drain and none",
				changes, d.Size()-size)
		}
		if endpoints, destinations := d.Len(); endpoints != 2*dests || destinations != dests {
			t.Errorf("got %d endpoints of %d destinations, want two endpoints each", endpoints, destinations)
		}
	}
}

// TestIndexGrowsGradually checks that no insertion moves more than a small part of an index, however long the index
// is.
func TestIndexGrowsGradually(t *testing.T) {
	x, maxMoved := &index{}, 0
	hash := func(slot uint32) uint64 { return mixHash(uint64(slot)) }
	for slot := range uint32(500_000) {
		moved := 0
		x.put(hash(slot), slot, func(s uint32) uint64 { moved++; return hash(s) })
		maxMoved = max(maxMoved, moved)
	}
	if maxMoved > 500_000/100 {
		t.Errorf("an insertion moved %d of 500,000 entries, want at most 5,000", maxMoved)
	}
	for slot := range uint32(500_000) {
		if got, ok := x.find(hash(slot), func(s uint32) bool { return s == slot }); !ok || got != slot {
			t.Fatalf("slot %d is not found", slot)
		}
		if slot%3 == 0 {
			x.remove(hash(slot), slot, hash)
		}
	}
	for slot := range uint32(500_000) {
		if _, ok := x.find(hash(slot), func(s uint32) bool { return s == slot }); ok != (slot%3 != 0) {
			t.Fatalf("slot %d: got found %v, want the opposite", slot, ok)
		}
	}
}

func BenchmarkReadList(b *testing.B) {
	list, _ := io.ReadAll(generateList(100_000, nil))
	b.SetBytes(int64(len(list)))
	for name, d := range map[string]*Directory{"known": NewDirectory(0), "new": nil} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				directory := d
				if directory == nil {
					directory = NewDirectory(0)
				}
				readAndApply(b, directory, bytes.NewReader(list))
			}
		})
	}
}

// TestDeltaMemoryDoesNotDependOnListLength checks that a delta of one entry allocates about the same memory however
// many endpoints are listed. It measures bytes rather than time.
func TestDeltaMemoryDoesNotDependOnListLength(t *testing.T) {
	bytesPerDelta := func(dests int) float64 {
		d := NewDirectory(0)
		list := List{Revision: 1, Complete: true}
		for i := range dests {
			list.Members = append(list.Members, Member{ID: fmt.Sprintf("s-%08x", i), HostPort: "10.1.2.3:80", Locality: "a", Flavor: "k", Cell: i, Phase: "up", Size: 1})
		}
		applyList(t, d, list, 512)
		const changes = 200
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for n := range changes {
			member := list.Members[dests-1-n]
			member.Phase = "draining"
			if got := applyList(t, d, List{Revision: int64(n + 2), Members: []Member{member}}, 512); len(got) != 1 {
				t.Fatalf("delta of one entry: got %d changes, want 1", len(got))
			}
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / changes
	}
	withFew, withMany := bytesPerDelta(1000), bytesPerDelta(200000)
	t.Logf("a delta of one entry allocates %.0f bytes with 1,000 endpoints listed, %.0f with 200,000",
		withFew, withMany)
	if withMany > 1.5*withFew {
		t.Errorf("a delta of one entry allocates %.0f bytes with 1,000 endpoints listed, %.0f with 200,000; want similar",
			withFew, withMany)
	}
}
