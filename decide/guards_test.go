package decide

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestRemovedGuardsAreDetected removes one guard at a time from a copy of the package and expects the named test to
// fail. This shows that the tests detect the loss of a guard, and that no other code path hides it.
func TestRemovedGuardsAreDetected(t *testing.T) {
	if os.Getenv("YEWSPAN_MUTANT") != "" {
		t.Skip("already running in a mutant")
	}
	goTool, err := exec.LookPath("go")
	if err != nil {
		t.Fatal("cannot find the go tool: ", err)
	}
	policy := policyFiles(t)
	for _, mutation := range []struct{ name, old, new, run string }{
		{"none", "", "", ""},
		{"drain", "ep.state != Ready || ep.limiter", "ep.limiter", "TestRules"},
		{"wait", " || ep.limiter.retryAfterUntil > p.now || ", " || ", "TestRules"},
		{"non-idempotent", "if m.mayHaveRunAt == 0 || m.class.Idempotency == Idempotent {",
			"if m.mayHaveRunAt == 0 || m.class.Idempotency != Deduplicated {", "TestRules"},
		{"dedup window", " ||\n\t\tp.now-m.mayHaveRunAt > m.class.DedupWindow-2*p.settings.Tick", "", "TestRules"},
		{"dedup zone", "m.class.DedupByZone && ep.zone != m.mayHaveRunZone", "false", "TestRules"},
		{"order", "key.queue[0] != m || ", "", "TestRules"},
		{"pause of a key", "m.attempts == 0 && key.pausedUntil > p.now", "false", "TestRules"},
		{"answer by the deadline", "p.now < m.deadline-p.deadlineMargin() && (m.call", "(m.call", "TestRules"},
		{"attempts", "m.maxAttempts > 0 && m.attempts >= m.maxAttempts", "false", "TestRules"},
		{"handing back", "return m.class.Idempotency == Deduplicated && !m.class.DedupByZone",
			"return m.class.Idempotency == Deduplicated", "TestRules"},
		{"budget", "return ep.budget.refill(p.now, rate, max(burst, ep.nextCallCost)) >= ep.nextCallCost",
			"return ep.budget.refill(p.now, rate, max(burst, ep.nextCallCost)) >= -99", "TestSlowStartBudget"},
		{"outage", "ep.ejected || ep.failureScore < p.ejectionThreshold(ep.limiter)", "true", "TestFailuresUndoRamp"},
		{"one attempt at a time", "return p.settings.ParallelAttempts || same", "return same || true",
			"TestSharedCallTimesOutTogether"},
		{"one call in a step", "c.sentAt == p.now && !p.", "c.sentAt < 0 && !p.", "TestSharedCallTimesOutTogether"},
		{"untried first", "m.waitLoss += p.maxWorth", "", "TestUntriedInheritedMessagesGoFirst"},
		{"untried is not shed", " && !(m.inherited && m.attempts == 0)", "", "TestUntriedInheritedMessagesGoFirst"},
		{"overdue", "func() { p.markOverdue(c) })", "func() {})", "TestOverdueCallLeavesWindow"},
		{"cancel under slot pressure", "p.cancelUnderSlotPressure(c)\n\t}\n\tp.callsInFlight++",
			"}\n\tp.callsInFlight++", "TestCancelUnderSlotPressure"},
	} {
		t.Run(mutation.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			files, _ := filepath.Glob("*.go")
			occurrences := 0
			for _, f := range files {
				if f == "example_test.go" {
					continue // it imports the package by its path
				}
				text, err := os.ReadFile(f)
				if err != nil {
					t.Fatal(err)
				}
				if mutation.old != "" && slices.Contains(policy, f) {
					occurrences += strings.Count(string(text), mutation.old)
					text = []byte(strings.Replace(string(text), mutation.old, mutation.new, 1))
				}
				if err := os.WriteFile(filepath.Join(dir, f), text, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if mutation.old != "" && occurrences != 1 {
				t.Fatalf("got %[2]d occurrences of %[1]q in the policy files, want 1", mutation.old, occurrences)
			}
			if err := os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module mutant\n\ngo 1.24\n"),
				0o644); err != nil {
				t.Fatal(err)
			}
			run := mutation.run
			if run == "" {
				run = "TestRules|TestSlowStartBudget|TestCancelUnderSlotPressure"
			}
			cmd := exec.Command(goTool, "test", "-vet=off", "-run", "^("+run+")$", ".")
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "YEWSPAN_MUTANT=1", "GOFLAGS=", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			switch {
			case mutation.old == "" && err != nil:
				t.Fatalf("tests of the unchanged copy failed:\n%s", out)
			case mutation.old != "" && err == nil:
				t.Fatalf("%s passed without the guard, want a failure", mutation.run)
			case mutation.old != "" && !strings.Contains(string(out), "--- FAIL"):
				t.Fatalf("copy without the guard failed without a test failure, so it may not build:\n%s", out)
			}
		})
	}
}
