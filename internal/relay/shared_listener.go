package relay

import (
	"fmt"
	"net"
	"syscall"
)

// sharedListener is a listener whose socket other processes use too: the platform passes it to each process of this
// relay. Non-blocking mode belongs to the socket and not to a process, and passing the socket to a new process may
// clear it. An accept would then block its thread in the system call, where neither a deadline nor Close ends it.
type sharedListener struct{ *net.TCPListener }

// Accept waits for the next connection.
func (l sharedListener) Accept() (net.Conn, error) {
	if err := setNonblock(l.TCPListener); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

// setNonblock sets the non-blocking mode of a socket.
func setNonblock(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	if err := raw.Control(func(fd uintptr) { setErr = syscall.SetNonblock(int(fd), true) }); err != nil {
		return err
	}
	if setErr != nil {
		return fmt.Errorf("set non-blocking mode: %w", setErr)
	}
	return nil
}
