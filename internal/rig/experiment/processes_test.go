package experiment

import (
	"context"
	"io"
	"log/slog"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestRealRelay: each kind of experiment with a real relay runs to its end at a small size and has its figures.
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
		x, err := Parse([]byte("name = \"x\"\nkind = \"" + kind + "\"\nunit = \"x\"\nsizes = [30]\n[load]\nmessages = 30\nchanges = 2\n" +
			"reloads = 1\nreconnects = 1\ndeadline_ms = 600000\n[relay]\ndestinations = 40\n"))
		if err != nil {
			t.Fatal(err)
		}
		x.Relay.Program = program
		res, err := Run(context.Background(), x, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err != nil || len(res.Points) != 1 {
			t.Errorf("%s: %v", kind, err)
			continue
		}
		for _, f := range want {
			if res.Points[0].Figures[f] <= 0 {
				t.Errorf("%s: %s is %v", kind, f, res.Points[0].Figures[f])
			}
		}
		if res.PeakMB < 5 || res.Machine.MemoryMB == 0 || res.Commit == "" {
			t.Errorf("%s: %+v", kind, res)
		}
	}
}
