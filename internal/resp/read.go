// Package resp is the codec of the client protocol: the subset of RESP2 (the
// Redis serialization protocol) that clients and the relay speak. A command is
// an array of bulk strings, a reply is a simple string, a bulk string or an
// error.
//
// The reader bounds every size before memory is spent on it, and memory for a
// long argument grows as its bytes arrive, not when its length is announced. The
// memory that all commands take together is bounded by the caller, see Reserve.
package resp

import (
	"bufio"
	"errors"
	"io"
	"strconv"
)

// Limits of a command.
const (
	MaxArguments = 16       // arguments of a command, its name included
	MaxArgument  = 4 << 10  // bytes of an argument other than the last
	MaxBody      = 64 << 10 // bytes of the last argument
	MaxSkipped   = 1 << 20  // bytes of an oversized argument that is discarded so that reading can continue

	MaxCommand = (MaxArguments-1)*MaxArgument + MaxBody // bytes of all arguments together
)

// Reserve is called while a command is read, before its arguments take n more bytes of memory. It may
// wait, and an error ends the reading.
type Reserve func(n int) error

const (
	maxLengthLine = 32 // bytes of a line that announces a length, its CRLF included
	arrayPrefix   = '*'
	bulkPrefix    = '$'
	crlf          = "\r\n"
)

// ReadCommand reads one command and returns its arguments, the command's name
// first. A nil reserve lets it take up to MaxCommand bytes.
//
// After ErrTooLong the whole command has been discarded and the next one can be
// read. After any other error the position in the input is undefined and r must
// not be used any more: the error is io.EOF where the input ended before a
// command, io.ErrUnexpectedEOF where it ended inside one, a LengthError,
// ArgumentCountError, ArgumentSizeError or ErrUnterminated where the input is
// malformed, or else the error of the reader or of reserve.
func ReadCommand(r *bufio.Reader, reserve Reserve) ([][]byte, error) {
	count, err := readLength(r, arrayPrefix)
	if err != nil {
		return nil, err
	}
	if count < 1 || count > MaxArguments {
		return nil, ArgumentCountError(count)
	}
	if reserve == nil {
		reserve = func(int) error { return nil }
	}
	args, err := readArguments(r, count, reserve)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return args, nil
}

// readArguments reads the arguments of a command. Where one of them is too long
// it still reads those that follow, and returns ErrTooLong.
func readArguments(r *bufio.Reader, count int, reserve Reserve) ([][]byte, error) {
	args := make([][]byte, 0, count)
	tooLong := false
	for i := range count {
		limit := MaxArgument
		if i == count-1 {
			limit = MaxBody
		}
		arg, err := readBulkString(r, limit, reserve)
		switch {
		case errors.Is(err, ErrTooLong):
			tooLong = true
		case err != nil:
			return nil, err
		default:
			args = append(args, arg)
		}
	}
	if tooLong {
		return nil, ErrTooLong
	}
	return args, nil
}

// readBulkString reads a bulk string of at most limit bytes. A longer one of up
// to MaxSkipped bytes is discarded and reported as ErrTooLong.
func readBulkString(r *bufio.Reader, limit int, reserve Reserve) ([]byte, error) {
	size, err := readLength(r, bulkPrefix)
	if err != nil {
		return nil, err
	}
	if size < 0 || size > MaxSkipped {
		return nil, ArgumentSizeError(size)
	}
	if size > limit {
		return nil, skipBytes(r, size)
	}
	arg, err := readBytes(r, size, reserve)
	if err != nil {
		return nil, err
	}
	return arg, readEnd(r)
}

// skipBytes discards the bytes of a bulk string and its CRLF, and returns
// ErrTooLong where that succeeded.
func skipBytes(r *bufio.Reader, size int) error {
	if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
		return err
	}
	if err := readEnd(r); err != nil {
		return err
	}
	return ErrTooLong
}

// readBytes reads the bytes of a bulk string. What follows the first MaxArgument bytes is reserved as a whole once
// those have arrived, so that commands do not wait for each other's memory with half a body each. It is allocated as
// its bytes arrive.
func readBytes(r *bufio.Reader, size int, reserve Reserve) ([]byte, error) {
	first := min(size, MaxArgument)
	if err := reserve(first); err != nil {
		return nil, err
	}
	arg := make([]byte, first)
	if _, err := io.ReadFull(r, arg); err != nil || size == first {
		return arg, err
	}
	if err := reserve(size - first); err != nil {
		return nil, err
	}
	for read := first; read < size; read = len(arg) {
		longer := make([]byte, min(2*read, size))
		copy(longer, arg)
		arg = longer
		if _, err := io.ReadFull(r, arg[read:]); err != nil {
			return nil, err
		}
	}
	return arg, nil
}

// readEnd reads the CRLF that ends a bulk string.
func readEnd(r *bufio.Reader) error {
	var end [len(crlf)]byte
	if _, err := io.ReadFull(r, end[:]); err != nil {
		return err
	}
	if string(end[:]) != crlf {
		return ErrUnterminated
	}
	return nil
}

// readLength reads a line that consists of prefix and a decimal number, and
// returns the number.
func readLength(r *bufio.Reader, prefix byte) (int, error) {
	var line [maxLengthLine]byte
	for n := range line {
		b, err := r.ReadByte()
		if err != nil {
			if n > 0 {
				err = unexpectedEOF(err)
			}
			return 0, err
		}
		line[n] = b
		if b == '\n' {
			return parseLength(line[:n+1], prefix)
		}
	}
	return 0, LengthError(prefix)
}

// parseLength parses a line that ends in a line feed. RESP has one form of each
// number: "+1", "01" and "-0" are malformed.
func parseLength(line []byte, prefix byte) (int, error) {
	last := len(line) - 1
	if last < 2 || line[last-1] != '\r' || line[0] != prefix {
		return 0, LengthError(prefix)
	}
	digits := string(line[1 : last-1])
	length, err := strconv.Atoi(digits)
	if err != nil || strconv.Itoa(length) != digits {
		return 0, LengthError(prefix)
	}
	return length, nil
}

// unexpectedEOF replaces io.EOF, where it is met inside a command, by
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
