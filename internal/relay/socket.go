package relay

import (
	"cmp"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// This file examines sockets without reading from them.

// peekSocket checks, without waiting, whether a connection has received data that nobody has read: it returns 1 if
// so, 0 at the end of file, and -1 if nothing has arrived.
func peekSocket(conn net.Conn) (int, error) {
	n := -1
	var peekErr error
	err := controlSocket(conn, func(fd int) {
		var buf [1]byte
		if n, _, peekErr = syscall.Recvfrom(fd, buf[:],
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT); errors.Is(peekErr, syscall.EAGAIN) {
			n, peekErr = -1, nil
		}
	})
	return n, cmp.Or(err, peekErr)
}

// peerHasClosed reports whether the peer has closed its side of a connection or has reset it, also where bytes that it
// sent before are still unread. It reports false where the system does not tell.
func peerHasClosed(conn net.Conn) bool {
	closed := false
	err := controlSocket(conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case unix.BPF_TCP_CLOSE, unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_CLOSING, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_TIME_WAIT:
			closed = true
		}
	})
	return err == nil && closed
}

// backlogSize returns the number of connections that wait to be accepted, or unknownBacklogSize where the system does not
// tell.
func backlogSize(listener net.Listener) int {
	size := unknownBacklogSize
	controlSocket(listener, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.State == unix.BPF_TCP_LISTEN {
			size = int(info.Unacked) // for a listener this field has its backlog
		}
	})
	return size
}

// controlSocket calls examine with the descriptor of a connection or listener.
func controlSocket(socket any, examine func(fd int)) error {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	// Control is used instead of Read since Read fails after the read deadline, even if data has arrived.
	return raw.Control(func(fd uintptr) { examine(int(fd)) })
}
