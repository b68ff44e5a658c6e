package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes of the requests of ordinary clients.
const (
	outcomeAccepted = "accepted"
	outcomeBusy     = "busy"
	outcomeError    = "error"
	outcomeRefused  = "connection refused"
	outcomeReset    = "reset"
	outcomeClosed   = "closed"
	outcomeTimeout  = "timed out"
)

const (
	ordinaryClientCount = 5
	requestInterval     = 50 * time.Millisecond
	clientTimeout       = 400 * time.Millisecond // that a client waits for its reply
	maxLatencyMicros    = 10_000_000
)

// ordinaryClients hand in a message each requestInterval, on a connection of its own, and wait clientTimeout for the
// reply.
type ordinaryClients struct {
	addr    string
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int
	latency  *hdrhistogram.Histogram // of the replies, in microseconds
}

// startOrdinaryClients starts the clients.
func startOrdinaryClients(ctx context.Context, addr string) *ordinaryClients {
	ctx, cancel := context.WithCancel(ctx)
	c := &ordinaryClients{addr: addr, cancel: cancel, outcomes: map[string]int{},
		latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	for number := range ordinaryClientCount {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			for n := 0; ctx.Err() == nil; n++ {
				c.request(fmt.Sprintf("c%03x%012x", number, n))
				wait(ctx, requestInterval)
			}
		}()
	}
	return c
}

// request hands in one message and records how that ended.
func (c *ordinaryClients) request(id string) {
	startedAt := time.Now()
	outcome, replied := c.handIn(id, startedAt.Add(clientTimeout))
	took := time.Since(startedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
	if replied {
		c.latency.RecordValue(min(max(took.Microseconds(), 1), maxLatencyMicros))
	}
}

// handIn hands in one message and reports whether a reply came.
func (c *ordinaryClients) handIn(id string, deadline time.Time) (outcome string, replied bool) {
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.Dial("tcp", c.addr)
	if err != nil {
		return failedOutcome(err, outcomeRefused), false
	}
	defer conn.Close()
	conn.SetDeadline(deadline)
	if _, err := io.WriteString(conn, put(id, soundFields, "sighting")); err != nil {
		return failedOutcome(err, outcomeReset), false
	}
	line, err := bufio.NewReaderSize(conn, 64).ReadString('\n')
	switch {
	case err != nil:
		return failedOutcome(err, outcomeReset), false
	case strings.HasPrefix(line, "+"):
		return outcomeAccepted, true
	case strings.HasPrefix(line, "-BUSY"):
		return outcomeBusy, true
	}
	return outcomeError, true
}

// failedOutcome returns the outcome of a request that failed with an error.
func failedOutcome(err error, other string) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcomeTimeout
	case errors.Is(err, io.EOF):
		return outcomeClosed
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return outcomeReset
	}
	return other
}

// stop ends the clients and adds their figures to a result.
func (c *ordinaryClients) stop(result *Result) {
	c.cancel()
	c.running.Wait()
	result.Clients = c.outcomes
	for outcome, n := range c.outcomes {
		if outcome != outcomeAccepted && outcome != outcomeBusy && outcome != outcomeError {
			result.NoReply += n
		}
	}
	milliseconds := func(micros int64) float64 { return float64(micros) / 1000 }
	result.P50MS = milliseconds(c.latency.ValueAtPercentile(50))
	result.P99MS = milliseconds(c.latency.ValueAtPercentile(99))
	result.MaxMS = milliseconds(c.latency.Max())
}
