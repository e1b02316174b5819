package logs

import (
	"encoding/binary"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap/zapcore"

	"limpethitch.example/core/rcode"
)

// TestBuild guards against a start line that does not tell one binary from another, so that a run of
// an old binary passes for one of the current code.
func TestBuild(t *testing.T) {
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	want, err := exec.Command("go", "tool", "buildid", path).Output()
	if err != nil {
		t.Fatal(err)
	}
	fields := zapcore.NewMapObjectEncoder()
	for _, f := range Build() {
		f.AddTo(fields)
	}
	if diff := cmp.Diff(strings.TrimSpace(string(want)), fields.Fields["build"]); diff != "" {
		t.Errorf("build (-go tool buildid +logged):\n%s", diff)
	}
}

// TestNoteContent guards against a start that fails, or names another build, because the note of
// the binary is cut or odd.
func TestNoteContent(t *testing.T) {
	note := func(nameSize, size uint32, rest string) []byte {
		head := binary.LittleEndian.AppendUint32(nil, nameSize)
		head = binary.LittleEndian.AppendUint32(head, size)
		return append(binary.LittleEndian.AppendUint32(head, 4), rest...)
	}
	tests := map[string]struct {
		note []byte
		want string
		code rcode.Code
	}{
		"whole":           {note: note(4, 3, "Go\x00\x00a/b\x00"), want: "a/b", code: rcode.OK},
		"odd name":        {note: note(3, 3, "Go\x00\x00a/b\x00"), want: "a/b", code: rcode.OK},
		"empty":           {code: rcode.Internal},
		"cut header":      {note: note(4, 3, "")[:8], code: rcode.Internal},
		"cut content":     {note: note(4, 30, "Go\x00\x00a/b\x00"), code: rcode.Internal},
		"sizes too large": {note: note(1<<32-1, 1<<32-1, "Go\x00\x00a/b\x00"), code: rcode.Internal},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := noteContent(tt.note, binary.LittleEndian)
			if diff := cmp.Diff([]any{tt.want, tt.code}, []any{got, rcode.Of(err)}); diff != "" {
				t.Errorf("content, code (-want +got):\n%s", diff)
			}
		})
	}
}
