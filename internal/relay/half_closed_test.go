package relay

import (
	"io"
	"net"
	"testing"

	"troutusher/internal/resp"
)

// TestClientClosesItsSendingSide: a client that closes its sending side after a message and still reads is refused
// with a busy reply. The relay cannot distinguish it from a client that has disconnected, so the message is withdrawn.
func TestClientClosesItsSendingSide(t *testing.T) {
	submitted := make(chan *putRequest, 1)
	_, addr, written := serveClients(t, func(request *putRequest) { submitted <- request })
	client := dialClient(t, addr)
	io.WriteString(client, putCommand("m", putFields("plain", 8000, 1), nil))
	request := <-submitted
	client.Conn.(*net.TCPConn).CloseWrite()
	if <-written {
		t.Error("the reply was reported as written, want not written")
	}
	request.sendReply(resp.OK) // too late
	request.finishWithdrawal(resp.Busy(0))
	if reply := client.readLine(); reply != "-BUSY" {
		t.Errorf("got reply %q, want -BUSY", reply)
	}
	client.expectCleanEOF()
}
