package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Behavior is how the peers of a scenario behave.
type Behavior struct {
	Description string
	peers       int  // connections where the scenario states no number
	once        bool // a peer connects once
	alone       bool // no ordinary clients beside the peers
	run         func(ctx context.Context, p *peer)
}

const (
	crowdPeers   = 800
	leavingPeers = 40
	burst        = 200 // messages that a leaving client has sent

	bodyBytes      = 64 << 10
	missingBytes   = 200 // of an unfinished body
	pieceBytes     = 600
	pieceInterval  = 20 * time.Millisecond
	shortFields    = 9000
	shortArguments = 9000
	floodBatch     = 50 // commands in one write of a flood

	soundFields = "c=notice,t=acme,d=28000,dest=0"
)

// Behaviors are all behaviors by name.
var Behaviors = map[string]Behavior{
	"slow-bodies": {Description: "send a message with a body of 64 KiB in pieces of 600 bytes every 20 ms",
		peers: crowdPeers, run: slowBody},
	"unfinished-bodies": {Description: "stop 200 bytes before the end of a message with a body of 64 KiB",
		peers: crowdPeers, run: unfinishedBody},
	"many-fields": {Description: "send messages with 9,000 short fields, one after the other",
		peers: crowdPeers, run: manyFields},
	"many-arguments": {Description: "send commands that announce 9,000 short arguments",
		peers: crowdPeers, run: manyArguments},
	"ping": {Description: "send PING without a pause and read the replies",
		peers: 1, run: func(ctx context.Context, p *peer) { p.flood(ctx, true, pingCommands) }},
	"ping-unread": {Description: "send PING without a pause and read no reply",
		peers: 1, run: func(ctx context.Context, p *peer) { p.flood(ctx, false, pingCommands) }},
	"unsound": {Description: "send invalid commands without a pause, under ever new tenants and destinations",
		peers: 1, run: func(ctx context.Context, p *peer) { p.flood(ctx, true, unsoundCommands) }},
	"new-ids": {Description: "send valid messages without a pause, under ever new ids",
		peers: 1, run: func(ctx context.Context, p *peer) { p.flood(ctx, true, newMessages) }},
	"leave": {Description: "send 200 messages and close the connection at once",
		peers: leavingPeers, once: true, alone: true, run: func(_ context.Context, p *peer) { p.leave() }},
	"leave-reset": {Description: "send 200 messages and reset the connection at once",
		peers: leavingPeers, once: true, alone: true, run: func(_ context.Context, p *peer) {
			p.conn.SetLinger(0)
			p.leave()
		}},
}

// peer is one connection of a peer.
type peer struct {
	crowd  *crowd
	conn   *net.TCPConn
	number int // of the peer
	turn   int // connections that the peer had before
}

// connect lets a peer connect and behave until the connection or the scenario ends.
func (c *crowd) connect(ctx context.Context, behavior Behavior, number, turn int) {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return
	}
	c.connections.Add(1)
	openedAt := time.Now()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	behavior.run(ctx, &peer{crowd: c, conn: conn.(*net.TCPConn), number: number, turn: turn})
	stop()
	conn.Close()
	open := time.Since(openedAt).Milliseconds()
	for longest := c.longestOpen.Load(); open > longest; longest = c.longestOpen.Load() {
		if c.longestOpen.CompareAndSwap(longest, open) {
			return
		}
	}
}

// command encodes a command.
func command(arguments ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(arguments))
	for _, argument := range arguments {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return text.String()
}

// put encodes a message.
func put(id, fields, body string) string {
	return command("MSG.PUT", "0000000000000000", id, fields, body)
}

// id returns an id that no other message has.
func (p *peer) id(n int) string { return fmt.Sprintf("%04x%04x%08x", p.number, p.turn&0xffff, n) }

// drain reads until the connection ends.
func (p *peer) drain() { io.Copy(io.Discard, p.conn) }

func slowBody(ctx context.Context, p *peer) {
	go p.drain()
	text := put(p.id(0), soundFields, strings.Repeat("b", bodyBytes))
	for len(text) > 0 && ctx.Err() == nil {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(p.conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		wait(ctx, pieceInterval)
	}
	p.crowd.commands.Add(1)
}

func unfinishedBody(_ context.Context, p *peer) {
	text := put(p.id(0), soundFields, strings.Repeat("b", bodyBytes))
	io.WriteString(p.conn, text[:len(text)-missingBytes])
	p.drain()
}

func manyFields(ctx context.Context, p *peer) {
	go p.drain()
	text := put(p.id(0), strings.Repeat("a=1,", shortFields), "body")
	for ctx.Err() == nil {
		if _, err := io.WriteString(p.conn, text); err != nil {
			return
		}
		p.crowd.commands.Add(1)
	}
}

func manyArguments(_ context.Context, p *peer) {
	io.WriteString(p.conn, fmt.Sprintf("*%d\r\n", shortArguments)+strings.Repeat("$1\r\na\r\n", shortArguments))
	p.crowd.commands.Add(1)
	p.drain()
}

// flood sends commands without a pause. next returns a batch of them.
func (p *peer) flood(ctx context.Context, readReplies bool, next func(p *peer, n int) string) {
	var reader sync.WaitGroup
	if readReplies {
		reader.Add(1)
		go func() {
			defer reader.Done()
			p.drain()
			p.conn.Close()
		}()
	}
	for n := 0; ctx.Err() == nil; n++ {
		if _, err := io.WriteString(p.conn, next(p, n)); err != nil {
			break
		}
		p.crowd.commands.Add(floodBatch)
	}
	p.conn.Close()
	reader.Wait()
}

// pingCommands returns a batch of PING commands.
func pingCommands(*peer, int) string { return strings.Repeat(command("PING"), floodBatch) }

// unsoundCommands returns a batch of messages that name an unknown tenant, destination or class.
func unsoundCommands(p *peer, n int) string {
	var text strings.Builder
	for i := range floodBatch {
		name := n*floodBatch + i
		fields := []string{fmt.Sprintf("c=notice,t=tenant-%d,d=8000,dest=0", name),
			fmt.Sprintf("c=notice,t=acme,d=8000,dest=%d", 1+name), fmt.Sprintf("c=class-%d,t=acme,d=8000,dest=0", name)}
		text.WriteString(put(p.id(name), fields[name%len(fields)], "body"))
	}
	return text.String()
}

// newMessages returns a batch of valid messages.
func newMessages(p *peer, n int) string {
	var text strings.Builder
	for i := range floodBatch {
		text.WriteString(put(p.id(n*floodBatch+i), soundFields, "body"))
	}
	return text.String()
}

// acknowledgement is the reply to a message that the relay has taken on.
const acknowledgement = "+OK\r\n"

// unreadBytes returns the number of bytes that have arrived on a connection and were not read.
func unreadBytes(conn *net.TCPConn) (count int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			count = n
		}
	})
	return count
}

// leave sends messages and closes the connection without reading their replies.
func (p *peer) leave() {
	var text strings.Builder
	for i := range burst {
		text.WriteString(put(p.id(i), soundFields, "body"))
	}
	if _, err := io.WriteString(p.conn, text.String()); err == nil {
		p.crowd.commands.Add(burst)
	}
	p.crowd.unreadReplies.Add(int64(unreadBytes(p.conn) / len(acknowledgement)))
	p.conn.Close()
}
