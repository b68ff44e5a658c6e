package decide

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestGuardsMatter takes one guard at a time out of a copy of the module and expects TestRules, or the named
// test, to fail: the checker can tell, and no second path hides the loss.
func TestGuardsMatter(t *testing.T) {
	if os.Getenv("YEWSPAN_MUTANT") != "" {
		t.Skip("a mutant does not mutate")
	}
	goTool, err := exec.LookPath("go")
	if err != nil {
		t.Fatal("the go tool is needed: ", err)
	}
	policy := policyFiles(t)
	for _, m := range []struct{ name, old, new, run string }{
		{"none", "", "", ""},
		{"drain", "ep.state != Ready || ep.limiter", "ep.limiter", "TestRules"},
		{"wait", " || ep.limiter.retryAfterUntil > p.now || ", " || ", "TestRules"},
		{"unsafe", "if m.mayHaveRunAt == 0 || m.class.Idempotency == Idempotent {", "if m.mayHaveRunAt == 0 || m.class.Idempotency != Deduplicated {", "TestRules"},
		{"dedup window", " ||\n\t\tp.now-m.mayHaveRunAt > m.class.DedupWindow-2*p.settings.Tick", "", "TestRules"},
		{"dedup zone", "m.class.DedupByZone && ep.zone != m.mayHaveRunZone", "false", "TestRules"},
		{"order", "key.queue[0] != m || ", "", "TestRules"},
		{"rest of a key", "m.attempts == 0 && key.pausedUntil > p.now", "false", "TestRules"},
		{"answer in time", "p.now < m.deadline-p.deadlineMargin() && (m.call", "(m.call", "TestRules"},
		{"attempts", "m.maxAttempts > 0 && m.attempts >= m.maxAttempts", "false", "TestRules"},
		{"refusal", "return m.class.Idempotency == Deduplicated && !m.class.DedupByZone", "return m.class.Idempotency == Deduplicated", "TestRules"},
		{"budget", "return ep.budget.refill(p.now, rate, max(burst, ep.nextCallCost)) >= ep.nextCallCost", "return ep.budget.refill(p.now, rate, max(burst, ep.nextCallCost)) >= -99", "TestFailBackBudget"},
		{"outage", "ep.ejected || ep.failureScore < p.ejectionThreshold(ep.limiter)", "true", "TestPartialSuccessKeepsTheBudget"},
		{"one at a time", "return p.settings.ParallelAttempts || same", "return same || true", "TestNoCopiesByACallInPart"},
		{"one step", "c.sentAt == p.now && !p.", "c.sentAt < 0 && !p.", "TestNoCopiesByACallInPart"},
		{"untried first", "m.waitLoss += p.maxWorth", "", "TestUntriedGoesFirst"},
		{"untried keeps its place", " && !(m.inherited && m.attempts == 0)", "", "TestUntriedGoesFirst"},
		{"overdue", "func() { p.markOverdue(c) })", "func() {})", "TestSilentCallLeavesTheWindow"},
		{"calling off", "p.cancelUnderSlotPressure(c)\n\t}\n\tp.callsInFlight++", "}\n\tp.callsInFlight++", "TestReclaim"},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			files, _ := filepath.Glob("*.go")
			stands := 0
			for _, f := range files {
				if f == "example_test.go" {
					continue // it imports the module by name
				}
				text, err := os.ReadFile(f)
				if err != nil {
					t.Fatal(err)
				}
				if m.old != "" && slices.Contains(policy, f) {
					stands += strings.Count(string(text), m.old)
					text = []byte(strings.Replace(string(text), m.old, m.new, 1))
				}
				if err := os.WriteFile(filepath.Join(dir, f), text, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if m.old != "" && stands != 1 {
				t.Fatalf("%q stands %d times in the policy files", m.old, stands)
			}
			if err := os.WriteFile(filepath.Join(dir, "go.mod"), []byte("module mutant\n\ngo 1.24\n"), 0o644); err != nil {
				t.Fatal(err)
			}
			run := m.run
			if run == "" {
				run = "TestRules|TestFailBackBudget|TestReclaim"
			}
			cmd := exec.Command(goTool, "test", "-vet=off", "-run", "^("+run+")$", ".")
			cmd.Dir = dir
			cmd.Env = append(os.Environ(), "YEWSPAN_MUTANT=1", "GOFLAGS=", "GOWORK=off")
			out, err := cmd.CombinedOutput()
			switch {
			case m.old == "" && err != nil:
				t.Fatalf("the copy itself fails:\n%s", out)
			case m.old != "" && err == nil:
				t.Fatalf("without the guard %s still passes", m.run)
			case m.old != "" && !strings.Contains(string(out), "--- FAIL"):
				t.Fatalf("the mutant does not build:\n%s", out)
			}
		})
	}
}
