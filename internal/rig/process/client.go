package process

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Client is one client connection to a relay. It sends a command only after the reply to the one before.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// replyTimeout limits sending one command and reading its reply.
const replyTimeout = 30 * time.Second

// Dial connects to a relay.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReaderSize(conn, 128)}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// roundTrip sends a command and returns the first line of the reply without its line ending.
func (c *Client) roundTrip(args ...string) (string, error) {
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(arg), arg)
	}
	c.conn.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := c.conn.Write([]byte(command.String())); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Ping sends PING and returns an error unless the relay replies +PONG, as it does once it is ready.
func (c *Client) Ping() error {
	line, err := c.roundTrip("PING")
	if err == nil && line != "+PONG" {
		err = fmt.Errorf("PING: %s", line)
	}
	return err
}

// Put hands in a message and returns the line of the reply.
func (c *Client) Put(id string, dest int, deadline time.Duration, body string) (string, error) {
	return c.roundTrip("MSG.PUT", "0000000000000000", id,
		fmt.Sprintf("c=notice,t=acme,d=%d,dest=%d", deadline.Milliseconds(), dest), body)
}

// Load describes a number of messages to hand in to a relay over several connections.
type Load struct {
	IDPrefix    string // first part of each message ID
	Messages    int
	Connections int             // each hands in one message at a time
	Dest        func(i int) int // returns the destination of message i
	Deadline    time.Duration
	Body        string
}

// Run hands in all messages and returns the number of accepted messages and of -BUSY replies. A message that is
// refused with -BUSY is handed in again, under another ID, until ctx ends. Any other reply stops the load with an
// error.
func (l *Load) Run(ctx context.Context, addr string) (accepted, busy int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex
	next := 0
	var senders sync.WaitGroup
	for range l.Connections {
		senders.Add(1)
		go func() {
			defer senders.Done()
			client, err := Dial(addr)
			if err != nil {
				cancel(err)
				return
			}
			defer func() { client.Close() }()
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= l.Messages {
					return
				}
				for try := 0; ; try++ {
					if ctx.Err() != nil {
						return
					}
					line, err := client.Put(fmt.Sprintf("%s-%d-%d", l.IDPrefix, i, try), l.Dest(i), l.Deadline, l.Body)
					mu.Lock()
					switch {
					case err == nil && strings.HasPrefix(line, "+"):
						accepted++
					case err == nil && strings.HasPrefix(line, "-BUSY"):
						busy++
					case err == nil:
						err = fmt.Errorf("message to destination %d: relay replied %s", l.Dest(i), line)
					}
					mu.Unlock()
					if err != nil {
						cancel(err)
						return
					}
					if strings.HasPrefix(line, "+") {
						break
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
		}()
	}
	senders.Wait()
	return accepted, busy, context.Cause(ctx)
}
