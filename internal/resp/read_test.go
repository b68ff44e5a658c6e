package resp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// TestMalformedCommands: each kind of malformed command has its error, and the text that is sent to clients.
func TestMalformedCommands(t *testing.T) {
	for input, want := range map[string]struct {
		err  error
		text string
	}{
		"":                                     {io.EOF, "EOF"},
		"*":                                    {io.ErrUnexpectedEOF, "unexpected EOF"},
		"*1\r\n":                               {io.ErrUnexpectedEOF, "unexpected EOF"},
		"*1\r\n$4\r\nPING\r":                   {io.ErrUnexpectedEOF, "unexpected EOF"},
		"PING\r\n":                             {LengthError('*'), "expected '*' and a number"},
		"*1\n":                                 {LengthError('*'), "expected '*' and a number"},
		"*01\r\n":                              {LengthError('*'), "expected '*' and a number"},
		"*" + strings.Repeat("1", 99):          {LengthError('*'), "expected '*' and a number"},
		"*1\r\n:4\r\n":                         {LengthError('$'), "expected '$' and a number"},
		"*1\r\n$-0\r\n":                        {LengthError('$'), "expected '$' and a number"},
		"*0\r\n":                               {ArgumentCountError(0), "command of 0 arguments"},
		"*17\r\n":                              {ArgumentCountError(17), "command of 17 arguments"},
		"*1\r\n$-1\r\n":                        {ArgumentSizeError(-1), "argument of -1 bytes"},
		"*1\r\n$1048577\r\n":                   {ArgumentSizeError(MaxSkipped + 1), "argument of 1048577 bytes"},
		"*1\r\n$4\r\nPINGxx":                   {ErrUnterminated, "argument without its end"},
		"*2\r\n$4097\r\n" + skipped + "$x\r\n": {LengthError('$'), "expected '$' and a number"},
		"*2\r\n$4097\r\n" + skipped:            {io.ErrUnexpectedEOF, "unexpected EOF"},
	} {
		args, err := ReadCommand(bufio.NewReader(strings.NewReader(input)), nil)
		if args != nil || err != want.err || err.Error() != want.text {
			t.Errorf("%.40q: got %d arguments and error %v, want no arguments and error %v", input, len(args), err, want.text)
		}
	}
}

// skipped is an argument one byte longer than MaxArgument, with its CRLF.
var skipped = strings.Repeat("a", MaxArgument+1) + crlf

// TestNextCommandAfterOneTooLong: after ErrTooLong the next command can be read.
func TestNextCommandAfterOneTooLong(t *testing.T) {
	reader := bufio.NewReader(strings.NewReader("*2\r\n$4097\r\n" + skipped + "$1\r\nb\r\n" + "*1\r\n$4\r\nPING\r\n"))
	if args, err := ReadCommand(reader, nil); args != nil || err != ErrTooLong {
		t.Errorf("got %d arguments and error %v, want no arguments and error %v", len(args), err, ErrTooLong)
	}
	if args, err := ReadCommand(reader, nil); err != nil || len(args) != 1 || string(args[0]) != "PING" {
		t.Errorf("next command: got %q and error %v, want PING", args, err)
	}
}

// BenchmarkReadCommand measures the reading of valid, oversized and malformed commands.
func BenchmarkReadCommand(b *testing.B) {
	const fields = "c=keyed,t=acme,d=20000,dest=7,k=abc"
	for name, text := range map[string]string{
		"ping":      "*1\r\n$4\r\nPING\r\n",
		"put":       putText("message-1", fields, bytes.Repeat([]byte("b"), 1024)),
		"long_body": putText("message-1", "c=keyed", bytes.Repeat([]byte("b"), MaxBody)),
		"too_long":  putText("message-1", "c=keyed", bytes.Repeat([]byte("b"), MaxBody+1)),
		"malformed": "PING\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			source := strings.NewReader(text)
			reader := bufio.NewReader(source)
			for b.Loop() {
				source.Reset(text)
				reader.Reset(source)
				ReadCommand(reader, nil)
			}
		})
	}
}

var errGivenUp = errors.New("given up")

// BenchmarkReply measures the encoding of replies.
func BenchmarkReply(b *testing.B) {
	b.Run("busy", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Busy(1234)
		}
	})
	b.Run("error", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Error(errGivenUp)
		}
	})
}

// TestReservations: the memory of all arguments is reserved before it is used, what follows the first MaxArgument bytes
// in one piece, and a refused reservation ends the reading.
func TestReservations(t *testing.T) {
	input := "*2\r\n$3\r\nPUT\r\n$10000\r\n" + strings.Repeat("b", 10000) + "\r\n"
	var reserved []int
	args, err := ReadCommand(bufio.NewReader(strings.NewReader(input)), func(n int) error {
		reserved = append(reserved, n)
		return nil
	})
	if err != nil || len(args) != 2 || len(args[1]) != 10000 {
		t.Errorf("got %d arguments and error %v, want 2 and none", len(args), err)
	}
	if want := []int{3, MaxArgument, 10000 - MaxArgument}; !slices.Equal(reserved, want) {
		t.Errorf("reserved: got %v bytes, want %v", reserved, want)
	}
	refused := errors.New("refused")
	for allowed := range 3 {
		calls := 0
		args, err := ReadCommand(bufio.NewReader(strings.NewReader(input)), func(int) error {
			if calls++; calls > allowed {
				return refused
			}
			return nil
		})
		if args != nil || !errors.Is(err, refused) {
			t.Errorf("reservation %d refused: got %d arguments and error %v, want none and its error", allowed, len(args), err)
		}
	}
}
