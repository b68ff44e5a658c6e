package relay

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"troutusher/internal/resp"
)

// TestMessageAfterLastError: a message that was read together with the invalid commands that close its connection is
// refused with a busy reply and not taken. The replies keep their order.
func TestMessageAfterLastError(t *testing.T) {
	_, addr, _ := serveClients(t, func(request *putRequest) {
		t.Errorf("message %s was taken, want none", request.record.ID)
		replyOK(request)
	})
	client := dialClient(t, addr)
	const unknownCommand = "*1\r\n$3\r\nGET\r\n"
	io.WriteString(client, strings.Repeat(unknownCommand, maxConsecutiveErrors+1)+
		putCommand("m", putFields("plain", 8000, 1), nil)+strings.Repeat(unknownCommand, 3))
	for i := range maxConsecutiveErrors + 1 {
		if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
			t.Errorf("reply %d: got %q, want an error reply", i, reply)
		}
	}
	if reply := client.readLine(); reply != "-BUSY" {
		t.Errorf("message: got reply %q, want -BUSY", reply)
	}
	client.expectCleanEOF()
}

// TestErrorsBetweenMessages: only invalid commands in a row close a connection. A client that sends valid messages
// between them keeps it.
func TestErrorsBetweenMessages(t *testing.T) {
	_, addr, _ := serveClients(t, replyOK)
	client := dialClient(t, addr)
	const unknownCommand = "*1\r\n$3\r\nGET\r\n"
	for i := range maxConsecutiveErrors + 2 {
		io.WriteString(client, unknownCommand)
		if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
			t.Fatalf("invalid command %d: got reply %q, want an error reply", i, reply)
		}
		if reply := client.put(fmt.Sprintf("m%d", i), putFields("plain", 8000, 1), nil); reply != "+OK" {
			t.Fatalf("message %d: got reply %q, want +OK", i, reply)
		}
	}
}

// TestMessageReadBeforeLastErrorReply: a message that was read while the relay waited for the reply that closes the
// connection is answered too.
func TestMessageReadBeforeLastErrorReply(t *testing.T) {
	_, addr, _ := serveClients(t, func(request *putRequest) {
		time.Sleep(50 * time.Millisecond) // lets the next message be read; with too short a wait the test covers less
		request.sendReply(resp.Error(errors.New("no such destination")))
	})
	client := dialClient(t, addr)
	const unknownCommand = "*1\r\n$3\r\nGET\r\n"
	io.WriteString(client, strings.Repeat(unknownCommand, maxConsecutiveErrors-1)+
		putCommand("refused", putFields("plain", 8000, 1), nil)+
		putCommand("ahead", putFields("plain", 8000, 1), nil))
	for i := range maxConsecutiveErrors {
		if reply := client.readLine(); !strings.HasPrefix(reply, "-ERR ") {
			t.Errorf("reply %d: got %q, want an error reply", i, reply)
		}
	}
	if reply := client.readLine(); reply != "-BUSY" {
		t.Errorf("message after the last error: got reply %q, want -BUSY", reply)
	}
	client.expectCleanEOF()
}
