package relay

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// The functions in this file classify the errors of system calls by their cause: this machine, the peer, or a
// condition that is over within milliseconds.

const (
	minIORetryDelay = time.Millisecond      // before a failed read or write is retried; doubles
	maxIORetryDelay = 64 * time.Millisecond // if the retry after this delay fails, the error is returned
)

func errnoOf(err error) (syscall.Errno, bool) {
	var errno syscall.Errno
	ok := errors.As(err, &errno)
	return errno, ok
}

// isTransient reports whether a read or write on an open connection failed for lack of memory or because of a signal.
// The connection itself is intact.
func isTransient(err error) bool {
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM:
		return true
	}
	return false
}

// isResourceExhausted reports whether a system call failed because this process or machine ran out of a resource for
// now.
func isResourceExhausted(err error) bool {
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN:
		return true
	}
	return false
}

// isLocalFailure reports whether a connection could not be made for a reason on this machine. Nothing was sent then,
// and the peer did not cause the failure.
func isLocalFailure(err error) bool {
	if isResourceExhausted(err) {
		return true
	}
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case syscall.EINTR, syscall.EPROTO, syscall.ECONNABORTED, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM:
		return true
	}
	return false
}

// isBrokenConn reports whether an established connection broke without an orderly close.
func isBrokenConn(err error) bool {
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
		syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENOTCONN:
		return true
	}
	return false
}

// isSingleConnFailure reports whether accept failed because of the one connection that it took from the queue: Linux
// returns the pending network error of that connection, and the next connection may be intact.
func isSingleConnFailure(err error) bool {
	errno, ok := errnoOf(err)
	if !ok {
		return false
	}
	switch errno {
	case syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT,
		syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
		syscall.ETIMEDOUT:
		return true
	}
	return false
}

// readWithRetry reads like conn.Read and retries after transient errors.
func readWithRetry(conn net.Conn, b []byte) (int, error) {
	n, err := conn.Read(b)
	for delay := minIORetryDelay; n == 0 && err != nil && delay <= maxIORetryDelay && isTransient(err); delay *= 2 {
		time.Sleep(delay)
		n, err = conn.Read(b)
	}
	return n, err
}

// writeAll writes all of b. It continues after short writes and retries after transient errors. It returns the number
// of bytes that the kernel has accepted; an error means that this is less than all of b.
func writeAll(conn net.Conn, b []byte) (int, error) {
	written, delay := 0, minIORetryDelay
	for {
		n, err := conn.Write(b[written:])
		written += n
		switch {
		case written == len(b):
			return written, nil
		case n > 0 && err == nil:
			delay = minIORetryDelay
		case delay <= maxIORetryDelay && isTransient(err):
			time.Sleep(delay)
			delay *= 2
		case err == nil:
			return written, errors.New("write accepted no bytes")
		default:
			return written, err
		}
	}
}
