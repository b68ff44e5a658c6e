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

// listSeeds are valid and malformed lists.
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

// directoryState is what the exported methods of a directory return about its list.
type directoryState struct {
	revision                int64
	endpoints, destinations int
	members                 []Member
}

// stateOf reads the state of a directory, with the members of the destinations dests.
func stateOf(d *Directory, dests []int) (state directoryState) {
	state.revision = d.Revision()
	state.endpoints, state.destinations = d.Len()
	for _, dest := range dests {
		for _, endpoint := range d.Endpoints(dest, nil) {
			id, hostPort := d.Text(endpoint.Number)
			attributes := d.Attributes(endpoint.AttributesID)
			state.members = append(state.members, Member{id, hostPort, attributes.Locality, attributes.Flavor, endpoint.Dest,
				endpoint.Phase.String(), endpoint.Rate})
		}
	}
	return state
}

// initialList is in force before a test reads a list.
var initialList = List{Revision: 7, Complete: true, Members: []Member{
	{"s-1", "10.0.0.9:9", "a", "m2", 3, "up", 2},
	{"an-id-longer-than-twelve", "name:9", "c", "m", 1, "draining", 0.3},
	{"s-9", "10.0.0.9:8", "a", "m", 3, "up", 1},
}}

// destinationsOf returns the destinations of members, sorted and each once.
func destinationsOf(lists ...[]Member) (dests []int) {
	for _, members := range lists {
		for i := range members {
			dests = append(dests, members[i].Cell)
		}
	}
	slices.Sort(dests)
	return slices.Compact(dests)
}

// readInto reads a list as a relay does: it stages the list, and puts it in force or aborts it.
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
	applyUpdate(stage.Commit(header.Revision, header.Complete), 3)
	list.Revision, list.Complete = header.Revision, header.Complete
	return list, nil
}

func memberOf(e *Entry) Member {
	return Member{string(e.ID), string(e.HostPort), string(e.Locality), string(e.Flavor), int(e.Dest),
		e.Phase.String(), e.Rate}
}

// FuzzRead checks that a list that Read accepts is valid for encoding/json too, with the same content, and changes a
// directory in the same way as the model. A list that Read rejects must leave the directory and its tables unchanged.
// The result must not depend on how the input is split into reads.
func FuzzRead(f *testing.F) {
	for _, text := range listSeeds {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := NewDirectory(0)
		applyList(t, d, initialList, 3)
		before := tableSizesOf(d)
		read, err := readInto(t, d, bytes.NewReader(text))
		dests := destinationsOf(initialList.Members, read.Members)
		bytewise, bytewiseErr := readInto(t, NewDirectory(0), iotest.OneByteReader(bytes.NewReader(text)))
		if !reflect.DeepEqual(read, bytewise) || (err == nil) != (bytewiseErr == nil) {
			t.Errorf("read at once: got %+v, error %v; byte by byte: got %+v, error %v", read, err, bytewise, bytewiseErr)
		}
		if err != nil {
			unchanged := NewDirectory(0)
			applyList(t, unchanged, initialList, 3)
			if got, want := stateOf(d, dests), stateOf(unchanged, dests); !reflect.DeepEqual(got, want) {
				t.Errorf("a rejected list (%v) changes the directory from\n%+v to\n%+v", err, want, got)
			}
			if left := tableSizesOf(d); left != before {
				t.Errorf("table sizes after a rejected list: got %+v, want %+v", left, before)
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

// tableSizes holds the numbers of values in the tables of a directory.
type tableSizes struct {
	long, addresses, rates, places int
	bytes                          int64
}

func tableSizesOf(d *Directory) tableSizes {
	return tableSizes{len(d.longIDs.indexes), len(d.addrs.indexes), len(d.rates.indexes),
		len(d.attributes.indexes), d.tableBytes}
}

// checkEmptied checks that an empty full list removes everything from the directory.
func checkEmptied(t *testing.T, d *Directory) {
	t.Helper()
	applyList(t, d, List{Complete: true}, 3)
	if endpoints, destinations := d.Len(); endpoints != 0 || destinations != 0 || tableSizesOf(d) != (tableSizes{}) {
		t.Errorf("after an empty full list: got %d endpoints, %d destinations and tables %+v, want none",
			endpoints, destinations, tableSizesOf(d))
	}
	for i := range shardCount {
		if ids, dests := d.idIndex.shards[i].used, d.destIndex.shards[i].used; ids != 0 || dests != 0 {
			t.Errorf("shard %d of the empty directory holds %d ids and %d destinations, want none", i, ids, dests)
		}
	}
}

// checkMembers checks that all entries passed on are valid.
func checkMembers(t *testing.T, list *List) {
	t.Helper()
	for i := range list.Members {
		if err := list.Members[i].Validate(); err != nil {
			t.Errorf("invalid entry passed on: %+v, %v", list.Members[i], err)
		}
	}
}

// checkModel checks that the list changes the directory in the same way as the model.
func checkModel(t *testing.T, d *Directory, list *List, dests []int) {
	t.Helper()
	reference := &model{map[string]Member{}, map[int][]string{}, map[int]bool{}, map[int]bool{}}
	reference.apply(initialList)
	reference.apply(*list)
	var want []Member
	members := reference.membersByDest()
	for _, dest := range dests {
		want = append(want, members[dest]...)
	}
	got := stateOf(d, dests)
	if !reflect.DeepEqual(got.members, want) || got.endpoints != len(want) || got.revision != list.Revision {
		t.Errorf("state after the list %+v: got\n%+v, want members\n%+v", *list, got, want)
	}
}

// checkReference compares the list with the result of encoding/json.
func checkReference(t *testing.T, text []byte, list *List) {
	t.Helper()
	if !utf8.Valid(text) || bytes.Contains(bytes.ToLower(text), []byte(`\ud`)) {
		return // the decoders differ in how they treat invalid UTF-8 and surrogate escapes
	}
	if !json.Valid(text) {
		t.Errorf("Read accepted invalid JSON as %+v: %.300q", *list, text)
		return
	}
	want := referenceList(t, text)
	if want.Revision != list.Revision || want.Complete != list.Complete || !slices.Equal(want.Members, list.Members) {
		t.Errorf("got list\n%+v, want as from encoding/json\n%+v", *list, want)
	}
}

// referenceList decodes a list with the tokens of encoding/json. As in decoding to a struct, the last value of a key
// that is not null counts; unlike there, keys are case-sensitive.
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

// eachKey calls handle for each key of an object in order, including repeated keys.
func eachKey(t *testing.T, text []byte, handle func(key string, value json.RawMessage)) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	if token, err := decoder.Token(); token != json.Delim('{') {
		t.Errorf("encoding/json: got token %v, error %v; want the start of an object", token, err)
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
		handle(key.(string), value)
	}
}

func decodeJSON(t *testing.T, text []byte, into any) {
	t.Helper()
	if err := json.Unmarshal(text, into); err != nil {
		t.Errorf("encoding/json: %v", err)
	}
}

// watchResult holds the lists and the number of empty lines that were read from a watch, and how it ended.
type watchResult struct {
	lists   []List
	empties int
	torn    bool
	broken  bool
}

// followWatch reads a watch into a directory as the discovery client does.
func followWatch(t *testing.T, d *Directory, in io.Reader) (watch watchResult, progressCalls int) {
	t.Helper()
	reader := NewWatchReader(in, func() { progressCalls++ })
	for {
		begins, err := reader.Next()
		if err != nil {
			return watch, progressCalls
		}
		if !begins {
			watch.empties++
			continue
		}
		list, err := readInto(t, d, reader)
		if err != nil {
			watch.torn = reader.StreamErr() != nil
			watch.broken = !watch.torn
			return watch, progressCalls
		}
		watch.lists = append(watch.lists, list)
	}
}

// FuzzWatchReader checks that a watch yields the same lists however its bytes are split into reads, that only lists
// read to their end change the directory, and that reading continues after each of them. A watch that is truncated
// must yield the same lists up to that point.
func FuzzWatchReader(f *testing.F) {
	for _, text := range listSeeds {
		f.Add([]byte("\n"+text+"\n \r\n"+text+"\n"), uint8(9))
	}
	f.Add([]byte("{\n\"revision\":1,\n\"members\":[]\n}\n{\n \"members\":[\n\n"), uint8(1))
	f.Add([]byte("\t {\"revision\":1,\"members\":[]} \r\n\r\n"), uint8(200))
	f.Add([]byte("{ \n}\n"), uint8(0))
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		d := NewDirectory(0)
		applyList(t, d, initialList, 3)
		watch, progressCalls := followWatch(t, d, bytes.NewReader(text))
		if lines := bytes.Count(text, []byte("\n")); progressCalls > lines+1 {
			t.Errorf("%d lines: got %d calls of onProgress, want at most one per line and one more", lines, progressCalls)
		}
		inPieces := NewDirectory(0)
		applyList(t, inPieces, initialList, 3)
		watchInPieces, _ := followWatch(t, inPieces, bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(text)), 16))
		if !reflect.DeepEqual(watch, watchInPieces) {
			t.Errorf("read at once: got\n%+v, in pieces: got\n%+v", watch, watchInPieces)
		}
		var members []Member
		for i := range watch.lists {
			members = append(members, watch.lists[i].Members...)
		}
		checkWatchModel(t, d, watch.lists, destinationsOf(initialList.Members, members))
		checkCutWatch(t, text, int(cut), &watch)
	})
}

// checkWatchModel checks that the lists of a watch change the directory in the same way as the model.
func checkWatchModel(t *testing.T, d *Directory, lists []List, dests []int) {
	t.Helper()
	reference := &model{map[string]Member{}, map[int][]string{}, map[int]bool{}, map[int]bool{}}
	reference.apply(initialList)
	revision := initialList.Revision
	for i := range lists {
		reference.apply(lists[i])
		revision = lists[i].Revision
	}
	var want []Member
	members := reference.membersByDest()
	for _, dest := range dests {
		want = append(want, members[dest]...)
	}
	if got := stateOf(d, dests); !reflect.DeepEqual(got.members, want) || got.revision != revision {
		t.Errorf("state after the lists %+v: got\n%+v, want members\n%+v", lists, got, want)
	}
}

// checkCutWatch checks that a watch without its last cut bytes yields a prefix of the lists of the whole watch.
func checkCutWatch(t *testing.T, text []byte, cut int, whole *watchResult) {
	t.Helper()
	if cut > len(text) {
		return
	}
	d := NewDirectory(0)
	applyList(t, d, initialList, 3)
	truncated, _ := followWatch(t, d, bytes.NewReader(text[:len(text)-cut]))
	if len(truncated.lists) > len(whole.lists) ||
		!reflect.DeepEqual(truncated.lists, whole.lists[:len(truncated.lists)]) &&
			len(truncated.lists) > 0 {
		t.Errorf("watch without its last %d bytes: got lists\n%+v, want a prefix of\n%+v", cut, truncated.lists, whole.lists)
	}
}

// TestSkippedInputTakesLittleMemory checks that input that Read skips needs little memory however long it is.
func TestSkippedInputTakesLittleMemory(t *testing.T) {
	const length = 16 << 20
	spaces := strings.Repeat(" ", 1<<10)
	for name, test := range map[string]struct {
		part string
		most uint64 // bytes allocated in total, not retained
	}{
		"spaces":           {spaces, 1 << 20},
		"unknown texts":    {fmt.Sprintf(`"x":"%s",`, spaces), 1 << 20},
		"unknown, in many": {`"x":{"a":[1,2,3]},`, length},
	} {
		t.Run(name, func(t *testing.T) {
			in := io.MultiReader(strings.NewReader("{"), strings.NewReader(strings.Repeat(test.part, length/len(test.part))),
				strings.NewReader(`"revision":3,"members":[]}`+"\n"))
			reader := NewWatchReader(in, func() {})
			if begins, err := reader.Next(); !begins {
				t.Fatal("no list begins", err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			header, err := Read(reader, false, func(*Header, *Entry) error { return nil })
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > test.most {
				t.Errorf("a list without entries allocated %d bytes, want at most %d", allocated, test.most)
			}
			if err != nil || header.Revision != 3 {
				t.Errorf("got header %+v, error %v; want revision 3", header, err)
			}
		})
	}
}
