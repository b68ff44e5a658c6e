package peers

import (
	"log/slog"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestRun plays each behavior for a short time with few peers against a relay process, and checks that the peers did
// what their behavior says and that the ordinary clients were served.
func TestRun(t *testing.T) {
	program := filepath.Join(t.TempDir(), "troutusher")
	if out, err := exec.Command("go", "build", "-o", program, "troutusher/cmd/troutusher").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, behavior := range Behaviors {
		result, err := Run(t.Context(), Scenario{Behavior: name, Program: program, Peers: 2, MemoryMB: 64, Sockets: 1024,
			DiskMB: 3, Lead: 500 * time.Millisecond, For: 300 * time.Millisecond, ReturnAfter: 50 * time.Millisecond}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if result.Connections < 2 || result.RestKB == 0 && !behavior.alone || result.PeakKB == 0 || result.RelayExited {
			t.Errorf("%s: got %+v, want connections, memory and a relay that runs", name, result)
		}
		if !behavior.alone && result.Clients[outcomeAccepted] == 0 {
			t.Errorf("%s: got client outcomes %v, want accepted messages", name, result.Clients)
		}
	}
}

// TestRunNamesWhatIsWrong: an unknown behavior is an error that names it.
func TestRunNamesWhatIsWrong(t *testing.T) {
	_, err := Run(t.Context(), Scenario{Behavior: "odd"}, slog.New(slog.DiscardHandler))
	if err == nil || !strings.Contains(err.Error(), "odd") {
		t.Errorf("got error %v, want one that names the behavior", err)
	}
}
