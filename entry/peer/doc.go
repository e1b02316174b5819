// Package peer is the protocol between entry VMs: drpc over TCP for calls and
// the message of the UDP heartbeat.
//
// # Usage
//
//	srv := peer.NewServer(impl, secret, log)
//	go srv.Serve(ctx, listener)
//
//	cl := peer.NewClients(secret)
//	reply, err := cl.Serve(ctx, "127.0.0.1:7101", req)
//
// Both ends prove at the start of each connection that they know the shared
// secret: each sends a random nonce and answers the other's with an HMAC.
// Errors of a call tell whether it may have arrived: rcode.PeerUnreachable means
// that it was never sent, rcode.OutcomeUnknown that it may have been.
package peer
