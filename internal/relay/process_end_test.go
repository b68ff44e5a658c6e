package relay

import (
	"io"
	"strings"
	"syscall"
	"testing"

	"troutusher/internal/resp"
)

// What ends the process ends no request without its answer: one that was read whole
// waits for it, half a command gets an error, and what is sent from then on is not read.
func TestEndOfTheProcessAnswers(t *testing.T) {
	got := make(chan *putRequest, 2)
	c, addr, said := serveClients(t, func(q *putRequest) { got <- q })
	whole, half := dialClient(t, addr), dialClient(t, addr)
	io.WriteString(whole, putCommand("m", putFields("plain", 8000, 1), nil))
	q := <-got
	io.WriteString(half, "*5\r\n$7\r\n")
	waitFor(t, "half a command", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for cc := range c.conns {
			if cc.readingCommand {
				return true
			}
		}
		return false
	})
	c.stopReadingAll()
	if s := half.readLine(); !strings.HasPrefix(s, "-ERR ") {
		t.Errorf("half a command: %q", s)
	}
	half.expectCleanEOF()
	q.sendReply(resp.OK)
	if s := whole.readLine(); s != "+OK" || !<-said {
		t.Errorf("answer %q", s)
	}
	whole.expectCleanEOF()
	waitFor(t, "the ends", func() bool { return c.count() == 0 })
}

// The same in a process that ends: a command that is still half way then is told so.
func TestHalfACommandAtTheEndOfTheProcess(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	env[commandTimeoutEnv] = "1m"
	c := startChild(t, env)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	io.WriteString(cl, pingCommand)
	if s := cl.readLine(); s != "+PONG" {
		t.Fatal(s)
	}
	io.WriteString(cl, "*5\r\n$7\r\nMSG.PUT\r\n")
	c.waitReady(t) // it has read what came before
	c.signal(t, syscall.SIGTERM)
	if s := cl.readLine(); !strings.HasPrefix(s, "-ERR ") {
		t.Errorf("answer %q", s)
	}
	cl.expectCleanEOF()
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}
