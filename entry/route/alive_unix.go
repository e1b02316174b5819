//go:build unix

package route

import (
	"net"
	"syscall"
	"time"
)

// connReusable reports whether an idle connection is still open and has no
// unread data. A request sent on a connection that the instance has closed
// would end as "outcome unknown".
func connReusable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	if conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
