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

// Client is one connection to a relay.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answerMost is how long an answer is waited for.
const answerMost = 30 * time.Second

// Dial connects to a relay.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReaderSize(c, 128)}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

func (c *Client) do(args ...string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	c.conn.SetDeadline(time.Now().Add(answerMost))
	if _, err := c.conn.Write([]byte(b.String())); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Ping asks whether the relay is ready.
func (c *Client) Ping() error {
	line, err := c.do("PING")
	if err == nil && line != "+PONG" {
		err = fmt.Errorf("PING: %s", line)
	}
	return err
}

// Put hands in a message and returns the answer's line.
func (c *Client) Put(id string, dest int, deadline time.Duration, body string) (string, error) {
	return c.do("MSG.PUT", "0000000000000000", id,
		fmt.Sprintf("c=notice,t=acme,d=%d,dest=%d", deadline.Milliseconds(), dest), body)
}

// Load is a number of messages to hand in.
type Load struct {
	Prefix   string // of their ids
	Messages int
	Conns    int // connections that hand in one message after another
	Dest     func(i int) int
	Deadline time.Duration
	Body     string
}

// Run hands all in and counts those taken on. One that is refused (-BUSY) is handed in again until ctx ends;
// any other answer ends the load.
func (l *Load) Run(ctx context.Context, addr string) (taken, refused int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex
	next := 0
	var all sync.WaitGroup
	for range l.Conns {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := Dial(addr)
			if err != nil {
				cancel(err)
				return
			}
			defer func() { c.Close() }()
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
					line, err := c.Put(fmt.Sprintf("%s-%d-%d", l.Prefix, i, try), l.Dest(i), l.Deadline, l.Body)
					mu.Lock()
					switch {
					case err == nil && strings.HasPrefix(line, "+"):
						taken++
					case err == nil && strings.HasPrefix(line, "-BUSY"):
						refused++
					case err == nil:
						err = fmt.Errorf("message to %d: %s", l.Dest(i), line)
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
	all.Wait()
	return taken, refused, context.Cause(ctx)
}
