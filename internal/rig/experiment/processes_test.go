package experiment

import (
	"context"
	"io"
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestRealRelay runs each kind of experiment with a relay process at a small size, and checks that the run ends
// without an error and has its figures.
func TestRealRelay(t *testing.T) {
	program := filepath.Join(t.TempDir(), "troutusher")
	if out, err := exec.Command("go", "build", "-o", program, "troutusher/cmd/troutusher").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for kind, want := range map[string][]string{
		"listed":      {"rss_bytes", "ready_ms", "sent_bytes"},
		"held":        {"log_bytes", "replay_ready_ms", "drained_ms"},
		"active":      {"rss_bytes"},
		"connections": {"rss_bytes"},
		"operations":  {"change_sent_bytes", "reconnect_sent_bytes", "full_list_sent_bytes", "change_in_force_last_ms"},
	} {
		exp, err := Parse([]byte("name = \"x\"\nkind = \"" + kind +
			"\"\nunit = \"x\"\nsizes = [30]\n[load]\nmessages = 30\nchanges = 2\n" +
			"reloads = 1\nreconnects = 1\ndeadline_ms = 600000\n[relay]\ndestinations = 40\n"))
		if err != nil {
			t.Fatal(err)
		}
		exp.Relay.Program = program
		result, err := Run(context.Background(), exp, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil || len(result.Points) != 1 {
			t.Errorf("%s: got error %v, want a result with one point", kind, err)
			continue
		}
		for _, figure := range want {
			if result.Points[0].Figures[figure] <= 0 {
				t.Errorf("%s: got %s %v, want more than 0", kind, figure, result.Points[0].Figures[figure])
			}
		}
		if result.PeakMB < 5 || result.Machine.MemoryMB == 0 || result.Commit == "" {
			t.Errorf("%s: got %+v, want peak memory, machine and commit", kind, result)
		}
	}
}
