// Package peer implements the protocol between entry VMs: calls by drpc over TCP,
// and the message of the heartbeats that package member sends over UDP.
//
// # Usage
//
//	srv, err := peer.NewServer(impl, secret, log)
//	go srv.Serve(ctx, listener)
//
//	cl := peer.NewClient(secret)
//	reply, err := cl.Serve(ctx, "127.0.0.1:7101", req)
//
// At the start of each connection both ends prove that they know the shared secret:
// each sends a random nonce and replies to the other's with an HMAC.
//
// The code of a call's error tells whether the request may have arrived:
// rcode.PeerUnreachable means that it was never sent, rcode.OutcomeUnknown that it
// may have been.
package peer
