//go:build !unix

package route

import "net"

// connReusable cannot check a connection on this platform. A request sent on a
// connection that the instance has closed ends as "outcome unknown".
func connReusable(net.Conn) bool { return true }
