package entry

import "golang.org/x/sys/unix"

// streamEnded reports whether the other end of a connection has ended the stream or closed the connection, also while bytes that it sent
// before have not been read.
func streamEnded(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
