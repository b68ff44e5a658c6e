package relay

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// FuzzParsePut: what is taken as a message names a class and a tenant of the
// configuration, has a time within its class's and texts that can stand in a header,
// and comes back from the log as it was.
func FuzzParsePut(f *testing.F) {
	cfg := testSet(f)
	f.Add("message-1", fields("keyed", 20000, 7), []byte("body\n\x00"))
	f.Add("message-1", "c=plain,t=acme,d=1500.25,dest=4294967295,new=field", []byte{})
	f.Add("message-1", "c=once,t=acme,d=40000,dest=0,k=", []byte("b"))
	f.Add("message-1", "c=once,c=plain,t=acme,d=1,d=2,dest=1,dest=2", []byte("b"))
	f.Add("", "c=plain,t=acme,d=1,dest=1", []byte("b"))
	f.Add("two words", "c=plain,t=acme,d=1,dest=1", []byte("b"))
	f.Add("m", "c=plain,t=acme,d=-1,dest=1", []byte("b"))
	f.Add("m", "c=plain,t=acme,d=1e3,dest=+1", []byte("b"))
	f.Add("m", "c=plain,t=nobody,d=0x1p3,dest=4294967296", []byte("b"))
	f.Add("m", "c=keyed,t=acme,d=.5,dest=1,k=\r\n", []byte("b"))
	f.Fuzz(func(t *testing.T, id, putFields string, body []byte) {
		if len(id) > resp.MaxArgument || len(putFields) > resp.MaxArgument || len(body) > resp.MaxBody {
			return // no command brings them
		}
		now := clock.System().Now()
		args := [][]byte{[]byte("MSG.PUT"), []byte("0"), []byte(id), []byte(putFields), body}
		request, err := cfg.parsePut(args, now)
		if err != nil {
			if request != nil {
				t.Errorf("a request beside the error %v", err)
			}
			if reply := resp.Error(err); strings.Count(reply, "\n") != 1 || !strings.HasSuffix(reply, "\r\n") {
				t.Errorf("the error is no single line: %q", reply)
			}
			return
		}
		rec := request.rec
		class, known := cfg.classes[rec.Class]
		if _, ok := cfg.tenants[rec.Tenant]; !ok || !known {
			t.Fatalf("class %q, tenant %q", rec.Class, rec.Tenant)
		}
		longest := time.Duration(deadlineMost*cfg.Policy.Classes[class].Deadline) * time.Microsecond
		if request.left < 0 || request.left > longest {
			t.Errorf("%v left, want 0 to %v", request.left, longest)
		}
		if rec.ID != id || !token(rec.ID) || rec.Key != "" && !token(rec.Key) || !bytes.Equal(rec.body, body) {
			t.Errorf("taken as %+v", rec)
		}
		if rec.Dest < 0 || rec.Dest > 1<<32-1 {
			t.Errorf("destination %d", rec.Dest)
		}
		if cfg.isKeyed(class) && rec.Key == "" {
			t.Error("a keyed class without a key")
		}
		checkRecordRoundTrip(t, rec)
	})
}

// FuzzPutCommand parses whatever is read as a command, of any number of arguments.
func FuzzPutCommand(f *testing.F) {
	f.Add([]byte(putText("m", "c=plain", []byte("b"))))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add([]byte("*2\r\n$-1\r\n$"))
	cfg := &Config{classes: map[string]int{}, tenants: map[string]int{}}
	f.Fuzz(func(t *testing.T, input []byte) {
		args, err := resp.ReadCommand(bufio.NewReader(bytes.NewReader(input)))
		if err != nil {
			return
		}
		request, err := cfg.parsePut(args, clock.System().Now())
		if err == nil || request != nil {
			t.Errorf("request %v, error %v: no class is configured", request, err)
		}
	})
}
