// Command verdict decides whether a CI run passes. It reads the output of the fuzz targets and of
// `go test ./...`, and their exit code. A run passes if everything passes except the tests listed in
// KNOWN-RED.txt, which must fail.
//
//	verdict KNOWN-RED.txt EXIT-CODE MODULE < OUTPUT
//
// Each line of the file has the form `package.Test; cause; issue N`, where package is the path below
// the module's root (`internal/relay.TestX; ...`). The file has at most three lines. The run fails if a
// line lacks a part, if a listed test did not fail, or if anything else failed. Exit codes: 0 passed,
// 1 failed, 2 wrong arguments or unreadable input.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// maxKnownRed is the largest number of tests that KNOWN-RED.txt may list.
const maxKnownRed = 3

// knownRed is a test that is known to fail, from one line of KNOWN-RED.txt.
type knownRed struct {
	pkg, test string
	line      string
}

var (
	knownRedLine = regexp.MustCompile(`^([\w./-]+)\.(Test\w*)\s*;\s*(\S.*?)\s*;\s*issue \d+$`)
	// testFailed matches anywhere in a line, since output of the test may precede it.
	testFailed = regexp.MustCompile(`--- FAIL: ((?:Test|Fuzz)\w*) \(`)
	// fuzzFailed matches lines that .ci/fuzz and .ci/run print.
	fuzzFailed    = regexp.MustCompile(`^fuzz: (?:\w+ )?failed$`)
	packageFailed = regexp.MustCompile(`^FAIL\s+(\S+)(?:\s+(.*))?$`)
	packagePassed = regexp.MustCompile(`^(?:ok|\?)\s+(\S+)\s`)
	crashLine     = regexp.MustCompile(`^(panic: |fatal error: |signal: |WARNING: DATA RACE)`)
)

// parseKnownRed parses the text of KNOWN-RED.txt. The text is empty if there is no such file.
func parseKnownRed(text string) ([]knownRed, error) {
	var list []knownRed
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		match := knownRedLine.FindStringSubmatch(line)
		if match == nil {
			return nil, fmt.Errorf("KNOWN-RED.txt: %q is not `package.Test; cause; issue N`", line)
		}
		list = append(list, knownRed{match[1], match[2], line})
	}
	if len(list) > maxKnownRed {
		return nil, fmt.Errorf("KNOWN-RED.txt: %d lines, %d at most", len(list), maxKnownRed)
	}
	return list, nil
}

// findProblems returns the reasons for which a run fails, given what it printed and its exit code. It returns
// none for a run that passes.
func findProblems(list []knownRed, module, output string, code int) []string {
	var problems []string
	unmatched := slices.Clone(list)
	packages := 0
	var failedTests []string // top-level tests that failed in the current package
	crash := ""              // the line that reports a panic, a signal or a data race in the current package
	for line := range strings.Lines(output) {
		line = strings.TrimRight(line, "\r\n")
		for _, match := range testFailed.FindAllStringSubmatch(line, -1) {
			failedTests = append(failedTests, match[1])
		}
		if crashLine.MatchString(line) {
			crash = line
		}
		if fuzzFailed.MatchString(line) {
			problems = append(problems, line)
		}
		if packagePassed.MatchString(line) {
			packages++
			failedTests, crash = nil, ""
			continue
		}
		match := packageFailed.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		packages++
		pkg := strings.TrimPrefix(match[1], module+"/")
		switch {
		case crash != "":
			problems = append(problems, fmt.Sprintf("%s: %s", pkg, crash))
		case len(failedTests) == 0:
			problems = append(problems, fmt.Sprintf("%s failed without a failed test: %s", pkg, match[2]))
		}
		for _, test := range failedTests {
			index := slices.IndexFunc(unmatched, func(r knownRed) bool { return r.pkg == pkg && r.test == test })
			if index < 0 {
				problems = append(problems, fmt.Sprintf("%s.%s failed", pkg, test))
				continue
			}
			unmatched = slices.Delete(unmatched, index, index+1)
		}
		failedTests, crash = nil, ""
	}
	for _, r := range unmatched {
		problems = append(problems, fmt.Sprintf("%s.%s is listed as known red and did not fail", r.pkg, r.test))
	}
	switch {
	case packages == 0:
		problems = append(problems, "no package was tested")
	case code != 0 && len(list) == 0 && len(problems) == 0:
		problems = append(problems, fmt.Sprintf("the tests exited with %d", code))
	}
	return problems
}

// run reads the list of known failures and the output of the tests, prints the verdict, and returns the exit code.
func run(args []string, in io.Reader, out io.Writer) (int, error) {
	if len(args) != 3 {
		return 2, errors.New("usage: verdict KNOWN-RED.txt EXIT-CODE MODULE < OUTPUT")
	}
	code, err := strconv.Atoi(args[1])
	if err != nil {
		return 2, fmt.Errorf("EXIT-CODE: %q is not a number", args[1])
	}
	text, err := os.ReadFile(args[0])
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 2, err
	}
	list, err := parseKnownRed(string(text))
	if err != nil {
		return 1, err
	}
	output, err := io.ReadAll(in)
	if err != nil {
		return 2, err
	}
	for _, r := range list {
		fmt.Fprintln(out, "known red:", r.line)
	}
	problems := findProblems(list, args[2], string(output), code)
	for _, s := range problems {
		fmt.Fprintln(out, "verdict:", s)
	}
	if len(problems) > 0 {
		return 1, nil
	}
	fmt.Fprintf(out, "verdict: passed, %d known red\n", len(list))
	return 0, nil
}

func main() {
	code, err := run(os.Args[1:], os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
	}
	os.Exit(code)
}
