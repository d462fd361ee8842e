package responsecheck

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketError returns the error that the kernel has for the next call on the socket of the connection.
func socketError(c net.Conn) error {
	var n int
	err := control(c, func(fd int) (err error) {
		n, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		return err
	})
	if err != nil || n == 0 {
		return nil // the connection has no socket, or the socket no error
	}
	return os.NewSyscallError("connection", syscall.Errno(n))
}

// unacknowledged returns the number of bytes that were written and that the other end has not acknowledged, or zero if it is not known.
func unacknowledged(c net.Conn) int {
	var n int
	err := control(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	if err != nil {
		return 0
	}
	return n
}

// control calls f with the file descriptor of the connection.
func control(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
