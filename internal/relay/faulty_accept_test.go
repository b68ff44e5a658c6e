package relay

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"troutusher/internal/clock"
)

// An accept loop outlives each failure: it does not spin while that lasts, and
// serves as soon as it is over.
func TestAcceptOutlivesFailures(t *testing.T) {
	const span = 200 * time.Millisecond
	serve := map[string]func(net.Listener){
		"clients": func(ln net.Listener) {
			newClients(parseTestConfig(t), clock.System(), quietLog(), accept, func(*request, bool) {}).serve(ln)
		},
		"operators": func(ln net.Listener) {
			(&ops{calls: opsCalls{"READY": func() (string, bool) { return "ready", true }}, clock: clock.System(), log: quietLog()}).serve(ln)
		},
	}
	asks := map[string][2]string{"clients": {"*1\r\n$4\r\nPING\r\n", "+PONG"}, "operators": {"READY\n", "ACK ready\n"}}
	for name := range serve {
		for _, errno := range acceptErrnos {
			t.Run(name+", "+errno.Error(), func(t *testing.T) {
				t.Parallel()
				ln := &faultyListener{Listener: listenLocal(t), failing: errno}
				over := make(chan struct{})
				go func() { defer close(over); serve[name](ln) }()
				began := time.Now()
				waitFor(t, "failures", func() bool { return ln.failures() > 2 && time.Since(began) >= span })
				// A pause after each but the first few.
				failed, most := ln.failures(), int(time.Since(began)/acceptPause)+acceptSkips+20
				if failed > most {
					t.Errorf("%d accepts, want %d at most", failed, most)
				}
				ln.fail(0)
				cl := dialClient(t, ln.Addr().String())
				io.WriteString(cl, asks[name][0])
				got := make([]byte, len(asks[name][1]))
				if _, err := io.ReadFull(cl.in, got); err != nil || string(got) != asks[name][1] {
					t.Errorf("after the failures: %q, %v", got, err)
				}
				select {
				case <-over:
					t.Error("the loop has ended")
				default:
				}
				ln.Close()
				<-over
			})
		}
	}
}

// Connections that broke in the queue cost the ones behind them no time; what
// this machine has run out of does.
func TestAcceptBackoff(t *testing.T) {
	for _, errno := range acceptErrnos {
		backoff := acceptBackoff{log: quietLog(), clock: clock.System(), listener: "test"}
		pauses := 0
		for range 100 {
			pause := backoff.failed(opError("accept", "accept4", errno))
			if pause != 0 && pause != acceptPause {
				t.Fatalf("%v: a pause of %v", errno, pause)
			}
			if pause > 0 {
				pauses++
			}
		}
		switch errno {
		case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN:
			if pauses != 100 {
				t.Errorf("%v: %d pauses after 100 failures", errno, pauses)
			}
		default:
			if pauses != 100-acceptSkips {
				t.Errorf("%v: %d pauses after 100 failures", errno, pauses)
			}
			backoff.accepted()
			if pause := backoff.failed(opError("accept", "accept4", errno)); pause != 0 {
				t.Errorf("%v: a pause of %v after a connection that was sound", errno, pause)
			}
		}
	}
}
