// Package guard confines a panic to the work that caused it, so that one message that is
// handled wrongly does not end the process with all other work.
//
// # Usage
//
//	err := guard.Run(logPanic, func() error { return decode(message) })
//
// State that the work may have changed halfway must not be used after a panic: the caller
// of Run discards it.
package guard

import (
	"runtime/debug"

	"limpethitch.example/core/rcode"
)

// Run calls f and returns its error. A panic in f becomes an error with the code
// rcode.Internal, whose message has the value of the panic and the stack; onPanic is called
// with it.
func Run(onPanic func(error), f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = rcode.New(rcode.Internal, "panic: %v\n%s", p, debug.Stack())
			onPanic(err)
		}
	}()
	return f()
}
