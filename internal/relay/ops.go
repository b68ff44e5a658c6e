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

// The operator port is a separate listener. Each connection carries one call, which is a line, and gets a reply of one
// line. No call waits for the event loop, so the port answers while the loop is busy.

const (
	maxOperatorLineBytes     = 64              // size limit of a call, line end included
	operatorCallTimeout      = 2 * time.Second // from accepting a connection to the end of its reply
	maxOperatorConns         = 12              // open connections; above that the oldest one is closed
	operatorListenRetryDelay = 200 * time.Millisecond
)

// operatorCalls maps the calls of the operator port to their handlers. A handler returns the text of the reply and
// whether the call is acknowledged.
type operatorCalls map[string]func() (string, bool)

// operatorCalls returns the calls that control and report whether clients are served.
func (c *clients) operatorCalls() operatorCalls {
	return operatorCalls{
		"READY": func() (string, bool) {
			if !c.ready() {
				return c.notReadyReason(), false
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

// operatorPort serves the calls of operators.
type operatorPort struct {
	calls operatorCalls
	clock clock.Clock
	log   *slog.Logger

	mu    sync.Mutex
	conns []net.Conn // open connections, oldest first
}

// serveOperatorPort serves the operator port at addr until ctx ends. While the address is in use, for example by the
// predecessor process, the relay works without the port and listening is retried.
func serveOperatorPort(ctx context.Context, addr string, calls operatorCalls, clk clock.Clock, log *slog.Logger) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		log.Error("operator port: cannot listen, retrying", "err", err)
	}
	for err != nil && ctx.Err() == nil {
		sleep(ctx, operatorListenRetryDelay)
		listener, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { listener.Close() })()
	log.Info("operator port: listening", "listen", listener.Addr().String())
	(&operatorPort{calls: calls, clock: clk, log: log}).serve(listener)
}

func (o *operatorPort) serve(listener net.Listener) {
	backoff := acceptBackoff{log: o.log, clock: o.clock, listener: "operator port"}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(backoff.failed(err))
			continue
		}
		backoff.accepted()
		conn.SetDeadline(clock.DeadlineIn(operatorCallTimeout))
		o.mu.Lock()
		if o.conns = append(o.conns, conn); len(o.conns) > maxOperatorConns {
			o.conns[0].Close() // its goroutine gets a read error and ends
			o.conns = o.conns[1:]
		}
		o.mu.Unlock()
		go o.handleConn(conn)
	}
}

// handleConn answers one call. An incomplete line is refused, since its start may be the name of another call.
func (o *operatorPort) handleConn(conn net.Conn) {
	defer func() {
		linger(conn, o.clock, lingerTimeout, nil)
		conn.Close()
		o.mu.Lock()
		defer o.mu.Unlock()
		for i, open := range o.conns {
			if open == conn {
				o.conns = append(o.conns[:i], o.conns[i+1:]...)
				return
			}
		}
	}()
	line, err := bufio.NewReaderSize(conn, maxOperatorLineBytes).ReadSlice('\n')
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
	text, acknowledged := call()
	prefix := "NAK "
	if acknowledged {
		prefix = "ACK "
	}
	io.WriteString(conn, prefix+text+"\n")
	if string(line) != "READY" {
		o.log.Info("operator port: call", "call", string(line), "yes", acknowledged, "says", text,
			"from", conn.RemoteAddr().String())
	}
}
