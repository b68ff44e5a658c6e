package relay

import (
	"io"
	"testing"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// TestInvalidCommandsHoldNoPlaces guards against clients that are shut out: peers that have sent only invalid commands
// fill the connection limit. Each new connection evicts one of them, whatever it waits for.
func TestInvalidCommandsHoldNoPlaces(t *testing.T) {
	const unknownCommand = "*1\r\n$3\r\nGET\r\n"
	for name, test := range map[string]struct {
		text  string
		reply bool // the relay has replied before the limit is reached
		rest  string
	}{
		"delay of an error reply": {text: unknownCommand},
		"after a protocol error":  {text: "*x\r\n", reply: true},
		"within the next command": {text: unknownCommand, reply: true, rest: "*1\r\n$4\r\nPI"},
	} {
		t.Run(name, func(t *testing.T) {
			server, addr, _ := serveClients(t, replyOK)
			server.mu.Lock()
			server.maxConns = 4
			server.mu.Unlock()
			var peers []*testClient
			for range 4 {
				peer := dialClient(t, addr)
				io.WriteString(peer, test.text)
				peers = append(peers, peer)
			}
			for _, peer := range peers {
				if test.reply {
					peer.readLine()
				}
				io.WriteString(peer, test.rest)
			}
			waitFor(t, "the first byte of each peer to be read", func() bool {
				server.mu.Lock()
				defer server.mu.Unlock()
				if !test.reply && len(server.conns) < len(peers) {
					return false
				}
				for cc := range server.conns { // slow peers may have been closed
					if !cc.sentCommand && cc.inFlight == 0 || test.rest != "" && cc.inFlight == 0 {
						return false
					}
				}
				return true
			})
			client := dialClient(t, addr)
			if reply := client.put("m", putFields("plain", 8000, 1), nil); reply != "+OK" {
				t.Errorf("got reply %q, want +OK", reply)
			}
		})
	}
}

// TestNewConnectionWaitsForPlace guards against clients that are shut out beside a crowd: a connection that finds no
// place is served once a place is free.
func TestNewConnectionWaitsForPlace(t *testing.T) {
	submitted := make(chan *putRequest, 2)
	server := newClients(parseTestConfig(t), clock.System(), discardLogger(),
		func(request *putRequest) { submitted <- request }, func(*putRequest, bool) {})
	server.maxConns, server.placeTimeout = 1, time.Minute
	listener := newLocalListener(t)
	go server.serve(listener)
	addr := listener.Addr().String()
	first, second := dialClient(t, addr), dialClient(t, addr)
	io.WriteString(first, putCommand("first", putFields("plain", 8000, 1), nil))
	request := <-submitted
	io.WriteString(second, putCommand("second", putFields("plain", 8000, 1), nil))
	select {
	case other := <-submitted:
		t.Fatalf("message %s was taken while there was no place for it", other.record.ID)
	case <-time.After(50 * time.Millisecond): // the second one is refused by then, or waits
	}
	request.sendReply(resp.OK)
	first.readLine()
	(<-submitted).sendReply(resp.OK)
	if reply := second.readLine(); reply != "+OK" {
		t.Errorf("got reply %q, want +OK", reply)
	}
}
