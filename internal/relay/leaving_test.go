package relay

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// pipelinedPuts returns messages that a client hands in without waiting for a reply.
func pipelinedPuts(count int) string {
	var text strings.Builder
	for n := range count {
		text.WriteString(putCommand("m"+strconv.Itoa(n), putFields("plain", 8000, 1), nil))
	}
	return text.String()
}

// TestMessagesOfClientThatLeft guards against messages that run after their client has closed its connection: what it
// had sent is not taken on from then on. The relay reads the first message, and meanwhile the client leaves.
func TestMessagesOfClientThatLeft(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"close":             func(conn *net.TCPConn) { conn.Close() },
		"close one side":    func(conn *net.TCPConn) { conn.CloseWrite() },
		"reset":             func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
		"close, unread end": func(conn *net.TCPConn) { io.WriteString(conn, strings.Repeat("x", 32<<10)); conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			submitted, written := make(chan *putRequest, 300), make(chan bool, 300)
			server := newClients(parseTestConfig(t), clock.System(), discardLogger(),
				func(request *putRequest) { submitted <- request }, func(request *putRequest, ok bool) {
					written <- ok
					if !ok {
						request.finishWithdrawal(resp.Busy(0))
					}
				})
			listener := newLocalListener(t)
			go server.serve(listener)
			client := dialClient(t, listener.Addr().String())
			io.WriteString(client, pipelinedPuts(200))
			first := <-submitted
			leave(client.Conn.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond) // for the close to arrive; with too short a wait the test covers less
			first.sendReply(resp.OK)
			if ok := <-written; ok {
				t.Error("the reply to a client that has left was reported as written")
			}
			waitFor(t, "the connection to be closed", func() bool { return server.count() == 0 })
			if n := len(submitted); n != 0 {
				t.Errorf("messages taken on after their client left: got %d, want 0", n)
			}
		})
	}
}

// TestPipelinedMessagesOfPresentClient: messages of a client that is still there are taken on, however many wait.
func TestPipelinedMessagesOfPresentClient(t *testing.T) {
	_, addr, written := serveClients(t, replyOK)
	client := dialClient(t, addr)
	go io.WriteString(client, pipelinedPuts(200))
	for range 200 {
		if reply := client.readLine(); reply != "+OK" {
			t.Fatalf("got reply %q, want +OK", reply)
		}
		if !<-written {
			t.Fatal("a reply was reported as not written")
		}
	}
}

// TestReturningClientsDuringUpgrade guards against a message that runs twice: clients leave before they have their reply
// and come again with the same id, also at the other process of an upgrade.
func TestReturningClientsDuringUpgrade(t *testing.T) {
	const clients, visits = 100, 4
	endpoint := newFakeEndpoint(t, func(http.ResponseWriter, *http.Request, int) { time.Sleep(5 * time.Millisecond) })
	relay := newReplaceableRelay(t, newFakeDiscovery(t, endpoint.member("s-1", 1)))
	rewrite(t, relay.env, replaceFirst(`"most_held":100`, `"most_held":1000`))
	predecessor := relay.startProcess(t)
	visit := func(id string, wait time.Duration) {
		conn, err := net.Dial("tcp", relay.env["ROUTER_LISTEN"])
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		io.WriteString(conn, putCommand(id, putFields("once", 20000, 1), nil))
		conn.SetReadDeadline(time.Now().Add(wait))
		conn.Read(make([]byte, 16))
	}
	var visitors sync.WaitGroup
	for n := range clients {
		visitors.Add(1)
		go func() {
			defer visitors.Done()
			random := rand.New(rand.NewPCG(uint64(n), 1))
			for range visits {
				visit("m"+strconv.Itoa(n), time.Duration(random.IntN(4))*time.Millisecond)
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			}
		}()
	}
	time.Sleep(20 * time.Millisecond) // the upgrade comes while clients come and go
	successor := relay.startProcess(t)
	visitors.Wait()
	predecessor.signal(t, syscall.SIGTERM)
	predecessor.waitExit(t)
	client := dialClient(t, relay.env["ROUTER_LISTEN"])
	if reply := client.put("last", putFields("once", 20000, 1), nil); reply != "+OK" {
		t.Fatal(reply)
	}
	waitFor(t, "the last message", func() bool { return endpoint.callCount("last") == 1 })
	successor.signal(t, syscall.SIGTERM)
	successor.waitExit(t)
	ran := 0
	for n := range clients {
		calls := endpoint.callCount("m" + strconv.Itoa(n))
		if ran += calls; calls > 1 {
			t.Errorf("message %d: got %d calls, want at most 1", n, calls)
		}
	}
	t.Logf("%d of %d messages ran", ran, clients)
}
