package relay

import (
	"io"
	"strings"
	"syscall"
	"testing"

	"troutusher/internal/resp"
)

// TestShutdownAnswersOpenRequests: when the process stops reading from its clients, a request that was read to its end
// still gets its reply, and an incomplete command gets an error reply. Nothing that is sent later is read.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	submitted := make(chan *putRequest, 2)
	server, addr, written := serveClients(t, func(request *putRequest) { submitted <- request })
	complete, incomplete := dialClient(t, addr), dialClient(t, addr)
	io.WriteString(complete, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-submitted
	io.WriteString(incomplete, "*5\r\n$7\r\n")
	waitFor(t, "the first bytes of the incomplete command to be read", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for conn := range server.conns {
			if conn.readingCommand {
				return true
			}
		}
		return false
	})
	server.stopReadingAll()
	if reply := incomplete.readLine(); !strings.HasPrefix(reply, "-ERR ") {
		t.Errorf("reply to the incomplete command: got %q, want an error", reply)
	}
	incomplete.expectCleanEOF()
	request.sendReply(resp.OK)
	if reply := complete.readLine(); reply != "+OK" || !<-written {
		t.Errorf("reply to the complete command: got %q, want +OK, reported as written", reply)
	}
	complete.expectCleanEOF()
	waitFor(t, "the connections to be closed", func() bool { return server.count() == 0 })
}

// TestIncompleteCommandAtShutdown: a process that gets SIGTERM answers an incomplete command with an error before it
// ends.
func TestIncompleteCommandAtShutdown(t *testing.T) {
	env := writeTestConfig(t, newFakeDiscovery(t), 3)
	env[commandTimeoutEnv] = "1m"
	process := startChild(t, env)
	client := dialClient(t, env["ROUTER_LISTEN"])
	io.WriteString(client, pingCommand)
	if reply := client.readLine(); reply != "+PONG" {
		t.Fatal(reply)
	}
	io.WriteString(client, "*5\r\n$7\r\nMSG.PUT\r\n")
	process.waitReady(t) // by now the process has read the incomplete command
	process.signal(t, syscall.SIGTERM)
	if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
		t.Errorf("reply to the incomplete command: got %q, want an error", reply)
	}
	client.expectCleanEOF()
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("exit status: got %v, want 0", err)
	}
}
