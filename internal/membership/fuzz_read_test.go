package membership

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"unicode/utf8"
)

// listSeeds are texts of lists as discovery writes them, and some that it must not.
var listSeeds = []string{
	`{"revision":41,"complete":true,"members":[{"id":"s-1","host_port":"10.0.0.1:1","locality":"a","flavor":"m2","cell":3,"phase":"up","size":1.5,"up_since_ms":0},` +
		`{"id":"an-id-longer-than-twelve","host_port":"[::1]:80","locality":"b","flavor":"m","cell":4294967295,"phase":"draining","size":0.123456789}]}`,
	"{\n  \"revision\": 2,\n  \"members\": [\n    {\"id\": \"s-1\", \"phase\": \"removed\"}\n  ]\n}",
	`{"revision":1,"members":[{"id":"s-1","id":"s-2","phase":"up","phase":null,"host_port":"a:1","cell":1}]}`,
	`{"members":[{"id":"\u0073-1","phase":"up","host_port":"a:1","cell":1e3,"size":-1e300}],"members":[]}`,
	`{"members":[{"id":"s-1","phase":"up","host_port":"a:1"},{"id":"s-1","phase":"up","host_port":"a:1","cell":2},{"id":"s-1","phase":"removed"}],"complete":true}`,
	`{"revision":9223372036854775808,"members":[]}`,
	`{"members":null}`, `{"members":[{}]}`, `{"members":[]}{`, `{"members":[{"id":"s-1"`, "", "null", "[]",
}

// inForce is all that a directory tells of its list.
type inForce struct {
	revision                int64
	endpoints, destinations int
	members                 []Member
}

// tell reads a directory by its public methods; dests are the destinations to look at.
func tell(d *Directory, dests []int) (list inForce) {
	list.revision = d.Revision()
	list.endpoints, list.destinations = d.Len()
	for _, dest := range dests {
		for _, e := range d.Endpoints(dest, nil) {
			id, hostPort := d.Text(e.Number)
			place := d.Attributes(e.AttributesID)
			list.members = append(list.members, Member{id, hostPort, place.Locality, place.Flavor, e.Dest, e.Phase.String(), e.Rate})
		}
	}
	return list
}

// standing is the list that is in force before one is read.
var standing = List{Revision: 7, Complete: true, Members: []Member{
	{"s-1", "10.0.0.9:9", "a", "m2", 3, "up", 2},
	{"an-id-longer-than-twelve", "name:9", "c", "m", 1, "draining", 0.3},
	{"s-9", "10.0.0.9:8", "a", "m", 3, "up", 1},
}}

// destinations lists those of members, each once.
func destinations(lists ...[]Member) (dests []int) {
	for _, members := range lists {
		for i := range members {
			dests = append(dests, members[i].Cell)
		}
	}
	slices.Sort(dests)
	return slices.Compact(dests)
}

// readInto reads a list as a relay does: staged, and put in force or given up.
func readInto(t *testing.T, d *Directory, in io.Reader) (list List, err error) {
	t.Helper()
	stage, err := d.Stage(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	header, err := Read(in, false, func(_ *Header, e *Entry) error {
		list.Members = append(list.Members, memberOf(e))
		_, err := stage.Entry(e, false)
		return err
	})
	if err != nil {
		stage.Abort()
		return list, err
	}
	apply(stage.Commit(header.Revision, header.Complete), 3)
	list.Revision, list.Complete = header.Revision, header.Complete
	return list, nil
}

func memberOf(e *Entry) Member {
	return Member{string(e.ID), string(e.HostPort), string(e.Locality), string(e.Flavor), int(e.Dest), e.Phase.String(), e.Rate}
}

// FuzzRead: a list that is read is one by encoding/json as well, says the same there, and
// changes a directory as it does a plain model of one. A list that cannot be read
// changes nothing, and leaves nothing behind. How the bytes come makes no difference.
func FuzzRead(f *testing.F) {
	for _, text := range listSeeds {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := NewDirectory(0)
		take(t, d, standing, 3)
		before := sizesOf(d)
		read, err := readInto(t, d, bytes.NewReader(text))
		dests := destinations(standing.Members, read.Members)
		slow, slowErr := readInto(t, NewDirectory(0), iotest.OneByteReader(bytes.NewReader(text)))
		if !reflect.DeepEqual(read, slow) || (err == nil) != (slowErr == nil) {
			t.Errorf("read at once: %+v, %v; byte by byte: %+v, %v", read, err, slow, slowErr)
		}
		if err != nil {
			unchanged := NewDirectory(0)
			take(t, unchanged, standing, 3)
			if got, want := tell(d, dests), tell(unchanged, dests); !reflect.DeepEqual(got, want) {
				t.Errorf("a list that cannot be read (%v) changes\n%+v to\n%+v", err, want, got)
			}
			if left := sizesOf(d); left != before {
				t.Errorf("a list that cannot be read leaves %+v, before %+v", left, before)
			}
			checkEmptied(t, d)
			return
		}
		checkMembers(t, &read)
		checkModel(t, d, &read, dests)
		checkEmptied(t, d)
		checkReference(t, text, &read)
	})
}

// tableSizes counts what the tables of a directory keep.
type tableSizes struct {
	long, addresses, rates, places int
	bytes                          int64
}

func sizesOf(d *Directory) tableSizes {
	return tableSizes{len(d.longIDs.indexes), len(d.addrs.indexes), len(d.rates.indexes), len(d.attributes.indexes), d.tableBytes}
}

// checkEmptied: a whole list without an entry leaves nothing of what a directory held.
func checkEmptied(t *testing.T, d *Directory) {
	t.Helper()
	take(t, d, List{Complete: true}, 3)
	if endpoints, destinations := d.Len(); endpoints != 0 || destinations != 0 || sizesOf(d) != (tableSizes{}) {
		t.Errorf("%d endpoints, %d destinations and %+v are left of no list", endpoints, destinations, sizesOf(d))
	}
	for i := range shardCount {
		if ids, dests := d.idIndex.shards[i].used, d.destIndex.shards[i].used; ids != 0 || dests != 0 {
			t.Errorf("shard %d keeps %d ids and %d destinations", i, ids, dests)
		}
	}
}

// checkMembers: no entry is handed on that a relay could not use.
func checkMembers(t *testing.T, list *List) {
	t.Helper()
	for i := range list.Members {
		if err := list.Members[i].Validate(); err != nil {
			t.Errorf("taken: %+v, %v", list.Members[i], err)
		}
	}
}

// checkModel: the directory holds what a plain model of it does.
func checkModel(t *testing.T, d *Directory, list *List, dests []int) {
	t.Helper()
	plain := &model{map[string]Member{}, map[int][]string{}, map[int]bool{}, map[int]bool{}}
	plain.take(standing)
	plain.take(*list)
	var want []Member
	members := plain.members()
	for _, dest := range dests {
		want = append(want, members[dest]...)
	}
	got := tell(d, dests)
	if !reflect.DeepEqual(got.members, want) || got.endpoints != len(want) || got.revision != list.Revision {
		t.Errorf("the list %+v makes\n%+v, want\n%+v", *list, got, want)
	}
}

// checkReference compares with encoding/json.
func checkReference(t *testing.T, text []byte, list *List) {
	t.Helper()
	if !utf8.Valid(text) || bytes.Contains(bytes.ToLower(text), []byte(`\ud`)) {
		return // each has its own way with texts that are none
	}
	if !json.Valid(text) {
		t.Errorf("read as %+v, and it is no JSON: %.300q", *list, text)
		return
	}
	want := referenceList(t, text)
	if want.Revision != list.Revision || want.Complete != list.Complete || !slices.Equal(want.Members, list.Members) {
		t.Errorf("read as\n%+v, by encoding/json\n%+v", *list, want)
	}
}

// referenceList reads a list by encoding/json's tokens. As with its structs, the last
// value of a key counts that is not null; unlike there, case matters.
func referenceList(t *testing.T, text []byte) (list List) {
	t.Helper()
	eachKey(t, text, func(key string, value json.RawMessage) {
		switch key {
		case "revision":
			decodeJSON(t, value, &list.Revision)
		case "complete":
			decodeJSON(t, value, &list.Complete)
		case "members":
			var entries []json.RawMessage
			decodeJSON(t, value, &entries)
			for _, entry := range entries {
				list.Members = append(list.Members, referenceMember(t, entry))
			}
		}
	})
	return list
}

func referenceMember(t *testing.T, text []byte) (member Member) {
	t.Helper()
	fields := map[string]any{"id": &member.ID, "host_port": &member.HostPort, "locality": &member.Locality,
		"flavor": &member.Flavor, "cell": &member.Cell, "phase": &member.Phase, "size": &member.Size}
	eachKey(t, text, func(key string, value json.RawMessage) {
		if field, ok := fields[key]; ok {
			decodeJSON(t, value, field)
		}
	})
	return member
}

// eachKey calls do for each key of an object, in order, repeated ones too.
func eachKey(t *testing.T, text []byte, do func(key string, value json.RawMessage)) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	if token, err := decoder.Token(); token != json.Delim('{') {
		t.Errorf("no object: %v, %v", token, err)
		return
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			t.Errorf("encoding/json: %v", err)
			return
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			t.Errorf("encoding/json: %v", err)
			return
		}
		do(key.(string), value)
	}
}

func decodeJSON(t *testing.T, text []byte, into any) {
	t.Helper()
	if err := json.Unmarshal(text, into); err != nil {
		t.Errorf("encoding/json: %v", err)
	}
}

// watchRead is what a watch brought: the revisions of its lists and how it ended.
type watchRead struct {
	lists   []List
	empties int
	torn    bool
	broken  bool
}

// followWatch reads a watch into a directory as discovery's client does.
func followWatch(t *testing.T, d *Directory, in io.Reader) (watch watchRead, going int) {
	t.Helper()
	lines := NewWatchReader(in, func() { going++ })
	for {
		begins, err := lines.Next()
		if err != nil {
			return watch, going
		}
		if !begins {
			watch.empties++
			continue
		}
		list, err := readInto(t, d, lines)
		if err != nil {
			watch.torn = lines.StreamErr() != nil
			watch.broken = !watch.torn
			return watch, going
		}
		watch.lists = append(watch.lists, list)
	}
}

// FuzzLines: a watch brings the same lists however its bytes come, changes a directory by
// those alone that were read whole, and goes on behind each. What is cut off at its
// end, or is made longer by an empty line, brings no other lists before that.
func FuzzLines(f *testing.F) {
	for _, text := range listSeeds {
		f.Add([]byte("\n"+text+"\n \r\n"+text+"\n"), uint8(9))
	}
	f.Add([]byte("{\n\"revision\":1,\n\"members\":[]\n}\n{\n \"members\":[\n\n"), uint8(1))
	f.Add([]byte("\t {\"revision\":1,\"members\":[]} \r\n\r\n"), uint8(200))
	f.Add([]byte("{ \n}\n"), uint8(0))
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		d := NewDirectory(0)
		take(t, d, standing, 3)
		watch, going := followWatch(t, d, bytes.NewReader(text))
		if lines := bytes.Count(text, []byte("\n")); going > lines+1 {
			t.Errorf("%d lines say %d times that the watch goes on", lines, going)
		}
		slow := NewDirectory(0)
		take(t, slow, standing, 3)
		again, _ := followWatch(t, slow, bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(text)), 16))
		if !reflect.DeepEqual(watch, again) {
			t.Errorf("at once:\n%+v, in pieces:\n%+v", watch, again)
		}
		var all []Member
		for i := range watch.lists {
			all = append(all, watch.lists[i].Members...)
		}
		checkWatchModel(t, d, watch.lists, destinations(standing.Members, all))
		checkCutWatch(t, text, int(cut), &watch)
	})
}

// checkWatchModel: the directory holds what the lists that were read make of a plain model.
func checkWatchModel(t *testing.T, d *Directory, lists []List, dests []int) {
	t.Helper()
	plain := &model{map[string]Member{}, map[int][]string{}, map[int]bool{}, map[int]bool{}}
	plain.take(standing)
	revision := standing.Revision
	for i := range lists {
		plain.take(lists[i])
		revision = lists[i].Revision
	}
	var want []Member
	members := plain.members()
	for _, dest := range dests {
		want = append(want, members[dest]...)
	}
	if got := tell(d, dests); !reflect.DeepEqual(got.members, want) || got.revision != revision {
		t.Errorf("lists %+v make\n%+v, want\n%+v", lists, got, want)
	}
}

// checkCutWatch: a watch that breaks some bytes earlier has brought the same lists so far.
func checkCutWatch(t *testing.T, text []byte, cut int, whole *watchRead) {
	t.Helper()
	if cut > len(text) {
		return
	}
	d := NewDirectory(0)
	take(t, d, standing, 3)
	short, _ := followWatch(t, d, bytes.NewReader(text[:len(text)-cut]))
	if len(short.lists) > len(whole.lists) || !reflect.DeepEqual(short.lists, whole.lists[:len(short.lists)]) &&
		len(short.lists) > 0 {
		t.Errorf("cut by %d bytes it brings\n%+v, whole\n%+v", cut, short.lists, whole.lists)
	}
}

// TestListTakesLittleMemory: what is read past costs little memory however long it is.
func TestListTakesLittleMemory(t *testing.T) {
	const length = 16 << 20
	spaces := strings.Repeat(" ", 1<<10)
	for name, x := range map[string]struct {
		part string
		most uint64 // bytes allocated, of which nothing is kept
	}{
		"spaces":           {spaces, 1 << 20},
		"unknown texts":    {fmt.Sprintf(`"x":"%s",`, spaces), 1 << 20},
		"unknown, in many": {`"x":{"a":[1,2,3]},`, length},
	} {
		t.Run(name, func(t *testing.T) {
			in := io.MultiReader(strings.NewReader("{"), strings.NewReader(strings.Repeat(x.part, length/len(x.part))),
				strings.NewReader(`"revision":3,"members":[]}`+"\n"))
			lines := NewWatchReader(in, func() {})
			if begins, err := lines.Next(); !begins {
				t.Fatal("no list", err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			header, err := Read(lines, false, func(*Header, *Entry) error { return nil })
			runtime.ReadMemStats(&after)
			if spent := after.TotalAlloc - before.TotalAlloc; spent > x.most {
				t.Errorf("%d bytes of memory for a list without an entry, want at most %d", spent, x.most)
			}
			if err != nil || header.Revision != 3 {
				t.Errorf("%+v, %v", header, err)
			}
		})
	}
}
