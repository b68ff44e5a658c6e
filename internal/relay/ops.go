package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"troutusher/internal/clock"
)

// The door for operators: a listener of its own, where each connection carries
// one line and gets one back. Nothing here waits for the loop.

const (
	opsLine  = 64              // bytes of a call, its end included
	opsWait  = 2 * time.Second // from a connection to the whole of its call
	opsMost  = 12              // connections at once; past that the oldest makes room
	opsAgain = 200 * time.Millisecond
)

// opsCalls are what the door can ask for. Each gives the answer's text and
// whether it is a yes.
type opsCalls map[string]func() (string, bool)

// opsCalls are the calls that change or tell whether clients are taken.
func (c *clients) opsCalls() opsCalls {
	return opsCalls{
		"READY": func() (string, bool) {
			if !c.ready() {
				return c.unready(), false
			}
			return "ready", true
		},
		"DRAIN": func() (string, bool) {
			c.drain()
			return "drained", true
		},
		"UNDRAIN": func() (string, bool) {
			if !c.undrain() {
				return "ending", false
			}
			return "ready", true
		},
	}
}

// ops is the door.
type ops struct {
	calls opsCalls
	clock clock.Clock
	log   *slog.Logger

	mu    sync.Mutex
	conns []net.Conn // the oldest first
}

// openOps listens at addr until ctx ends. Where the address cannot be had, as
// while another process still holds it, the relay works on and it is tried again.
func openOps(ctx context.Context, addr string, calls opsCalls, clk clock.Clock, log *slog.Logger) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		log.Error("ops: the door does not open, trying on", "err", err)
	}
	for err != nil && ctx.Err() == nil {
		sleep(ctx, opsAgain)
		ln, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	log.Info("ops: door open", "listen", ln.Addr().String())
	(&ops{calls: calls, clock: clk, log: log}).serve(ln)
}

func (o *ops) serve(ln net.Listener) {
	backoff := acceptBackoff{log: o.log, clock: o.clock, listener: "ops"}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(backoff.failed(err))
			continue
		}
		backoff.accepted()
		conn.SetDeadline(clock.DeadlineIn(opsWait))
		o.mu.Lock()
		if o.conns = append(o.conns, conn); len(o.conns) > opsMost {
			o.conns[0].Close() // its own goroutine takes note
			o.conns = o.conns[1:]
		}
		o.mu.Unlock()
		go o.talk(conn)
	}
}

// talk answers one call. A line that is cut short is none: half of one must
// not be taken for another.
func (o *ops) talk(conn net.Conn) {
	defer func() {
		linger(conn, o.clock, lingerWait)
		conn.Close()
		o.mu.Lock()
		defer o.mu.Unlock()
		for i, c := range o.conns {
			if c == conn {
				o.conns = append(o.conns[:i], o.conns[i+1:]...)
				return
			}
		}
	}()
	line, err := bufio.NewReaderSize(conn, opsLine).ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, io.EOF) && len(line) > 0 {
			io.WriteString(conn, "NAK no whole call\n")
		}
		return
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	call, ok := o.calls[string(line)]
	if !ok {
		io.WriteString(conn, "NAK unknown call\n")
		return
	}
	text, yes := call()
	word := "NAK "
	if yes {
		word = "ACK "
	}
	io.WriteString(conn, word+text+"\n")
	if string(line) != "READY" {
		o.log.Info("ops: call", "call", string(line), "yes", yes, "says", text, "from", conn.RemoteAddr().String())
	}
}
