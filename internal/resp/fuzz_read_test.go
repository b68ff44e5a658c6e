package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// encodeCommand encodes a command as RESP2 does: an array of bulk strings.
func encodeCommand(args [][]byte) []byte {
	out := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		out = fmt.Appendf(out, "$%d\r\n", len(arg))
		out = append(append(out, arg...), "\r\n"...)
	}
	return out
}

// putText returns a MSG.PUT command as a client writes it.
func putText(id, fields string, body []byte) string {
	args := [][]byte{[]byte("MSG.PUT"), []byte("0000000000000000"), []byte(id), []byte(fields), body}
	return string(encodeCommand(args))
}

// allocated returns the number of bytes that work allocates. Allocations of other goroutines
// are counted too, so a result above limit is measured again, and the least one is returned.
func allocated(limit uint64, work func()) (least uint64) {
	least = math.MaxUint64
	for range 3 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		work()
		runtime.ReadMemStats(&after)
		if least = min(least, after.TotalAlloc-before.TotalAlloc); least <= limit {
			break
		}
	}
	return least
}

// checkCommand reads a command from input and checks that encoding it again gives the bytes
// that were read, that all sizes are within their limits, and that the memory used depends on
// the bytes that arrived and not on the sizes that were announced.
func checkCommand(t *testing.T, input []byte) {
	t.Helper()
	const overhead = 24 << 10 // bytes for the reader and for one announced argument of at most MaxArgument bytes
	var args [][]byte
	var err error
	var consumed []byte
	limit := uint64(overhead + 4*len(input))
	used := allocated(limit, func() {
		source := bytes.NewReader(input)
		reader := bufio.NewReader(source)
		args, err = ReadCommand(reader, nil)
		consumed = input[:len(input)-source.Len()-reader.Buffered()]
	})
	if used > limit {
		t.Errorf("%d bytes of input: got %d bytes allocated, want at most %d", len(input), used, limit)
	}
	if err != nil {
		if args != nil {
			t.Errorf("got %d arguments together with error %v, want none", len(args), err)
		}
		return
	}
	if len(args) < 1 || len(args) > MaxArguments {
		t.Fatalf("got %d arguments, want 1 to MaxArguments", len(args))
	}
	for i, arg := range args {
		if i < len(args)-1 && len(arg) > MaxArgument || len(arg) > MaxBody {
			t.Errorf("argument %d of %d: got %d bytes, want at most its limit", i, len(args), len(arg))
		}
	}
	if encoded := encodeCommand(args); !bytes.Equal(encoded, consumed) {
		t.Errorf("command read from %.200q: got encoding %.200q, want the same bytes", consumed, encoded)
	}
}

// TestCommandsAtTheirLimits checks commands that are too long to be seeds of a fuzz target.
func TestCommandsAtTheirLimits(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		err  error
	}{
		"longest body":      {putText("message-1", "", bytes.Repeat([]byte("b"), MaxBody)), nil},
		"body too long":     {putText("message-1", "", bytes.Repeat([]byte("b"), MaxBody+1)), ErrTooLong},
		"longest argument":  {putText(strings.Repeat("a", MaxArgument), "", nil), nil},
		"argument too long": {putText(strings.Repeat("a", MaxArgument+1), "", nil), ErrTooLong},
		"announced only":    {"*1\r\n$" + strconv.Itoa(MaxBody) + "\r\n", io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			checkCommand(t, []byte(test.text))
			if _, err := ReadCommand(bufio.NewReader(strings.NewReader(test.text)), nil); !errors.Is(err, test.err) {
				t.Errorf("got error %v, want %v", err, test.err)
			}
		})
	}
}

// FuzzCommandRoundTrip applies checkCommand to arbitrary input.
func FuzzCommandRoundTrip(f *testing.F) {
	f.Add([]byte("*1\r\n$4\r\nPING\r\n*1\r\n$4\r\nPING\r\n"))
	f.Add([]byte(putText("message-1", "c=keyed,t=acme,d=20000,dest=7,k=5c0f6e1a2b3d4c59", []byte("body\r\n\x00"))))
	f.Add([]byte("*2\r\n$" + strconv.Itoa(MaxSkipped) + "\r\nshort\r\n"))
	f.Add([]byte("*1\r\n$" + strconv.Itoa(MaxBody) + "\r\nshort\r\n"))
	f.Add([]byte("*5\r\n$7\r\nMSG.PUT\r\n$-1\r\n"))
	f.Add([]byte("*-1\r\n"))
	f.Add([]byte("*9223372036854775808\r\n"))
	f.Add([]byte("*1\r\n$0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, input []byte) { checkCommand(t, input) })
}

// FuzzReadCommand checks that a command read from arbitrary input has at least one argument,
// its name, and at most MaxArguments.
func FuzzReadCommand(f *testing.F) {
	f.Add([]byte(putText("m", "c=plain", []byte("b"))))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add([]byte("*2\r\n$-1\r\n$"))
	f.Fuzz(func(t *testing.T, input []byte) {
		args, err := ReadCommand(bufio.NewReader(bytes.NewReader(input)), nil)
		if err != nil {
			return
		}
		if len(args) == 0 || len(args) > MaxArguments {
			t.Fatalf("got %d arguments, want 1 to MaxArguments", len(args))
		}
	})
}
