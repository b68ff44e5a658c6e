package relay

import (
	"io"
	"syscall"
	"testing"
)

// TestStopsWhileSharedSocketIsBlocking guards against a process that cannot end: the platform passes the clients'
// socket to another process and so clears its non-blocking mode, and no further client connects.
func TestStopsWhileSharedSocketIsBlocking(t *testing.T) {
	relay := newReplaceableRelay(t, newFakeDiscovery(t))
	process := relay.startProcess(t)
	for range 2 { // the accept after the first connection runs in the mode set here
		if err := syscall.SetNonblock(int(relay.socket.Fd()), false); err != nil {
			t.Fatal(err)
		}
		client := dialClient(t, relay.env["ROUTER_LISTEN"])
		io.WriteString(client, pingCommand)
		if reply := client.readLine(); reply != "+PONG" {
			t.Fatalf("got reply %q, want +PONG", reply)
		}
		client.Close()
	}
	process.signal(t, syscall.SIGTERM)
	process.waitExit(t)
}
