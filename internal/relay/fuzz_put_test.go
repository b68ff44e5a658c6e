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

// FuzzParsePut checks each message that is parsed without an error: its class and tenant are configured, its time left
// is within the limit of its class, its id and key can be header values, and a log record restores it unchanged.
func FuzzParsePut(f *testing.F) {
	cfg := parseTestConfig(f)
	f.Add("message-1", putFields("keyed", 20000, 7), []byte("body\n\x00"))
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
			return // ReadCommand returns no such argument
		}
		now := clock.System().Now()
		args := [][]byte{[]byte("MSG.PUT"), []byte("0"), []byte(id), []byte(putFields), body}
		request, err := cfg.parsePut(args, now)
		if err != nil {
			if request != nil {
				t.Errorf("got a request together with error %v, want no request", err)
			}
			if reply := resp.Error(err); strings.Count(reply, "\n") != 1 || !strings.HasSuffix(reply, "\r\n") {
				t.Errorf("got error reply %q, want a single line", reply)
			}
			return
		}
		record := request.record
		classIndex, known := cfg.classes[record.Class]
		if _, ok := cfg.tenants[record.Tenant]; !ok || !known {
			t.Fatalf("got class %q and tenant %q, want configured ones", record.Class, record.Tenant)
		}
		longest := time.Duration(maxDeadlineFactor*cfg.Policy.Classes[classIndex].Deadline) * time.Microsecond
		if request.timeLeft < 0 || request.timeLeft > longest {
			t.Errorf("got %v left, want 0 to %v", request.timeLeft, longest)
		}
		if record.ID != id || !isHeaderToken(record.ID) ||
			record.Key != "" && !isHeaderToken(record.Key) || !bytes.Equal(record.body, body) {
			t.Errorf("got record %+v, want the id, key and body of the command", record)
		}
		if record.Dest < 0 || record.Dest > 1<<32-1 {
			t.Errorf("got destination %d, want a 32-bit number", record.Dest)
		}
		if cfg.isKeyed(classIndex) && record.Key == "" {
			t.Error("got no key in a keyed class, want an error")
		}
		checkRecordRoundTrip(t, record)
	})
}

// FuzzPutCommand checks that parsePut accepts no command, with any number of arguments, where no class is configured.
func FuzzPutCommand(f *testing.F) {
	f.Add([]byte(putCommand("m", "c=plain", []byte("b"))))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add([]byte("*2\r\n$-1\r\n$"))
	cfg := &Config{classes: map[string]int{}, tenants: map[string]int{}}
	f.Fuzz(func(t *testing.T, input []byte) {
		args, err := resp.ReadCommand(bufio.NewReader(bytes.NewReader(input)), nil)
		if err != nil {
			return
		}
		request, err := cfg.parsePut(args, clock.System().Now())
		if err == nil || request != nil {
			t.Errorf("got request %v and error %v, want an error only: no class is configured", request, err)
		}
	})
}
