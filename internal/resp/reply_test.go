package resp

import (
	"errors"
	"testing"
)

// TestReplies: each reply is encoded as RESP2 requires.
func TestReplies(t *testing.T) {
	for name, test := range map[string]struct{ got, want string }{
		"ok":                            {OK, "+OK\r\n"},
		"pong":                          {Pong, "+PONG\r\n"},
		"busy":                          {Busy(400), "-BUSY 400\r\n"},
		"busy, no time":                 {Busy(0), "-BUSY\r\n"},
		"busy, negative":                {Busy(-1), "-BUSY\r\n"},
		"error":                         {Error(errors.New("given up")), "-ERR given up\r\n"},
		"error with control characters": {Error(errors.New("a\r\nb\x00\x7fé")), "-ERR a??b???\r\n"},
		"error text":                    {ErrorText("drained\n"), "-ERR drained?\r\n"},
		"bulk string":                   {BulkString([]byte("a\r\n\x00")), "$4\r\na\r\n\x00\r\n"},
		"empty bulk string":             {BulkString(nil), "$0\r\n\r\n"},
	} {
		if test.got != test.want {
			t.Errorf("%s: got %q, want %q", name, test.got, test.want)
		}
	}
}

// TestIsError: only error replies are recognized as such.
func TestIsError(t *testing.T) {
	for reply, want := range map[string]bool{Error(errors.New("given up")): true, OK: false, Pong: false, Busy(7): false, "": false} {
		if IsError(reply) != want {
			t.Errorf("IsError(%q): got %v, want the opposite", reply, !want)
		}
	}
}
