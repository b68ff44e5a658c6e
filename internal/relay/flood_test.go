package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// startSingleProcessorChild starts a relay that uses one processor, as a deployment does, and logs to a file: a pipe to
// the test would let the relay's goroutines pause.
func startSingleProcessorChild(t *testing.T, env map[string]string) *child {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	env["GOMAXPROCS"] = "1"
	process := &child{cmd: exec.Command(os.Args[0]), env: env}
	process.cmd.Stderr = log
	process.launch(t)
	process.waitReady(t)
	return process
}

// flood writes the texts that next returns to a relay, without a pause, until the test ends. Its replies are read and
// discarded.
func flood(t *testing.T, addr string, next func(n int) string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	go io.Copy(io.Discard, conn)
	go func() {
		for n := 0; ; n++ {
			if _, err := io.WriteString(conn, next(n)); err != nil {
				return
			}
		}
	}()
}

// TestClientsBesideFlood guards against clients that get their replies late or never: another client hands in messages
// at full speed over one connection, with most of which the relay has no more to do than to refuse them.
func TestClientsBesideFlood(t *testing.T) {
	const requests, maxMedian = 31, 120 * time.Millisecond // clients give up after 400 ms
	endpoint := newFakeEndpoint(t, func(http.ResponseWriter, *http.Request, int) { time.Sleep(100 * time.Millisecond) })
	member := endpoint.member("s-1", 1)
	member.Size = 1e6 // the relay's slots are the limit
	env := writeTestConfig(t, newFakeDiscovery(t, member), 3)
	rewrite(t, env, replaceFirst(`"most_held":100`, `"most_held":282`))
	rewrite(t, env, replaceFirst(`"calls_out":16`, `"calls_out":256`))
	startSingleProcessorChild(t, env)
	flood(t, env["ROUTER_LISTEN"], func(n int) string {
		var text strings.Builder
		for i := range 50 {
			text.WriteString(putCommand(fmt.Sprintf("flood-%d-%d", n, i), putFields("plain", 20000, 1), nil))
		}
		return text.String()
	})
	time.Sleep(500 * time.Millisecond) // the flood is at full speed then; with too short a wait the test covers less
	var took []time.Duration
	for n := range requests {
		startedAt := time.Now()
		client := dialClient(t, env["ROUTER_LISTEN"])
		client.put(fmt.Sprintf("m%d", n), putFields("plain", 20000, 1), nil)
		took = append(took, time.Since(startedAt))
		client.Close()
		time.Sleep(20 * time.Millisecond)
	}
	slices.Sort(took)
	if median := took[requests/2]; median > maxMedian {
		t.Errorf("time until the reply: got a median of %v and at most %v, want a median of at most %v", median,
			took[requests-1], maxMedian)
	}
}
