package relay

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/clock"
)

// TestAcceptLoopSurvivesFailures: an accept loop goes on after each kind of failure. It does not spin while the
// failure lasts, and serves connections as soon as it is over.
func TestAcceptLoopSurvivesFailures(t *testing.T) {
	const failureTime = 200 * time.Millisecond
	serve := map[string]func(net.Listener){
		"clients": func(listener net.Listener) {
			newClients(parseTestConfig(t), clock.System(), discardLogger(), replyOK, func(*putRequest, bool) {}).serve(listener)
		},
		"operators": func(listener net.Listener) {
			(&operatorPort{calls: operatorCalls{"READY": func() (string, bool) { return "ready", true }},
				clock: clock.System(), log: discardLogger()}).serve(listener)
		},
	}
	exchanges := map[string][2]string{"clients": {"*1\r\n$4\r\nPING\r\n", "+PONG"},
		"operators": {"READY\n", "ACK ready\n"}}
	for name := range serve {
		for _, errno := range acceptErrnos {
			t.Run(name+", "+errno.Error(), func(t *testing.T) {
				t.Parallel()
				listener := &faultyListener{Listener: listenLocal(t), failing: errno}
				loopEnded := make(chan struct{})
				go func() { defer close(loopEnded); serve[name](listener) }()
				began := time.Now()
				waitFor(t, "more than two failed accepts", func() bool {
					return listener.failures() > 2 && time.Since(began) >= failureTime
				})
				// Each failure but the first few is followed by a delay.
				failed, limit := listener.failures(), int(time.Since(began)/acceptRetryDelay)+maxImmediateAcceptRetries+20
				if failed > limit {
					t.Errorf("got %d failed accepts, want at most %d", failed, limit)
				}
				listener.fail(0)
				client := dialClient(t, listener.Addr().String())
				io.WriteString(client, exchanges[name][0])
				got := make([]byte, len(exchanges[name][1]))
				if _, err := io.ReadFull(client.reader, got); err != nil || string(got) != exchanges[name][1] {
					t.Errorf("after the failures: got reply %q and error %v", got, err)
				}
				select {
				case <-loopEnded:
					t.Error("the accept loop has ended")
				default:
				}
				listener.Close()
				<-loopEnded
			})
		}
	}
}

// TestAcceptBackoff: failures that concern a single queued connection do not delay the connections behind it, while
// each shortage of a resource on this machine delays the next accept.
func TestAcceptBackoff(t *testing.T) {
	for _, errno := range acceptErrnos {
		backoff := acceptBackoff{log: discardLogger(), clock: clock.System(), listener: "test"}
		delays := 0
		for range 100 {
			delay := backoff.failed(opError("accept", "accept4", errno))
			if delay != 0 && delay != acceptRetryDelay {
				t.Fatalf("%v: got a delay of %v, want none or the retry delay", errno, delay)
			}
			if delay > 0 {
				delays++
			}
		}
		switch errno {
		case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN:
			if delays != 100 {
				t.Errorf("%v: got %d delays after 100 failures, want 100", errno, delays)
			}
		default:
			if delays != 100-maxImmediateAcceptRetries {
				t.Errorf("%v: got %d delays after 100 failures, want fewer by the immediate retries", errno, delays)
			}
			backoff.accepted()
			if delay := backoff.failed(opError("accept", "accept4", errno)); delay != 0 {
				t.Errorf("%v: got a delay of %v after a successful accept, want none", errno, delay)
			}
		}
	}
}
