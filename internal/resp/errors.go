package resp

import (
	"errors"
	"fmt"
)

// ErrTooLong reports a command with an argument above its size limit. The
// command was discarded, and the next one can be read.
var ErrTooLong = errors.New("argument too long")

// ErrUnterminated reports a bulk string that is not followed by CRLF.
var ErrUnterminated = errors.New("argument without its end")

// A LengthError reports a line that does not consist of the prefix that is its
// value ('*' or '$') and a decimal number.
type LengthError byte

func (e LengthError) Error() string { return fmt.Sprintf("expected %q and a number", byte(e)) }

// An ArgumentCountError reports a command whose number of arguments, its value,
// is below 1 or above MaxArguments.
type ArgumentCountError int

func (e ArgumentCountError) Error() string { return fmt.Sprintf("command of %d arguments", int(e)) }

// An ArgumentSizeError reports an argument whose size in bytes, its value, is
// negative or above MaxSkipped.
type ArgumentSizeError int

func (e ArgumentSizeError) Error() string { return fmt.Sprintf("argument of %d bytes", int(e)) }
