package resp

import (
	"strconv"
	"strings"
)

// Replies without variable parts.
const (
	OK   = "+OK\r\n"   // the relay has accepted the message
	Pong = "+PONG\r\n" // answers a PING without an argument
)

const errorPrefix = "-ERR "

// Busy returns the reply that refuses a message for now. The client may retry
// after the given number of milliseconds; where that is not positive, the reply
// contains no number.
func Busy(milliseconds int64) string {
	if milliseconds <= 0 {
		return "-BUSY" + crlf
	}
	return "-BUSY " + strconv.FormatInt(milliseconds, 10) + crlf
}

// Error returns the reply that reports err.
func Error(err error) string { return ErrorText(err.Error()) }

// ErrorText returns the reply that reports an error with the given text. Each
// rune other than printable ASCII is replaced by a question mark, so that the
// reply is a single line.
func ErrorText(text string) string {
	printable := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, text)
	return errorPrefix + printable + crlf
}

// IsError reports whether a reply was made by Error or ErrorText.
func IsError(reply string) bool { return strings.HasPrefix(reply, errorPrefix) }

// BulkString returns the reply that carries value, which may hold any bytes.
func BulkString(value []byte) string {
	return string(bulkPrefix) + strconv.Itoa(len(value)) + crlf + string(value) + crlf
}
