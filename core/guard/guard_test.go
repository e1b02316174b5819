package guard_test

import (
	"errors"
	"strings"
	"testing"

	"limpethitch.example/core/guard"
	"limpethitch.example/core/rcode"
)

// Guards against a panic that leaves Run or is not reported, and against an error that does
// not say where it happened.
func TestRun(t *testing.T) {
	reported := 0
	report := func(error) { reported++ }
	plain := errors.New("plain")
	if err := guard.Run(report, func() error { return plain }); !errors.Is(err, plain) || reported != 0 {
		t.Errorf("error %v, want that of the function; %d panics reported", err, reported)
	}
	err := guard.Run(report, func() error { panic("broken row") })
	if rcode.Of(err) != rcode.Internal || !strings.Contains(err.Error(), "broken row") || !strings.Contains(err.Error(), "guard_test.go") {
		t.Errorf("error %v does not name the panic and its place", err)
	}
	if reported != 1 {
		t.Errorf("%d panics reported, want 1", reported)
	}
}
