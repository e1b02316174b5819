package logs

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"os"
	"runtime/debug"

	"go.uber.org/zap"

	"limpethitch.example/core/rcode"
)

// Build returns fields that identify the running program: its Go build ID, which `go tool buildid
// FILE` prints for a binary, and the revision of its sources if the build recorded that. In place
// of an ID that cannot be read it returns the error.
func Build() []zap.Field {
	fields := []zap.Field{zap.String("revision", sourceRevision())}
	id, err := buildID()
	if err != nil {
		return append(fields, Err(err)...)
	}
	return append(fields, zap.String("build", id))
}

// sourceRevision returns the revision that the program was built from, with "+modified" for sources
// that differed from it, or "unknown".
func sourceRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	settings := make(map[string]string, len(info.Settings))
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	revision := settings["vcs.revision"]
	switch {
	case revision == "":
		return "unknown"
	case settings["vcs.modified"] == "true":
		return revision + "+modified"
	default:
		return revision
	}
}

const (
	buildIDSection = ".note.go.buildid"
	// noteHeaderSize is the size in bytes of the lengths of a note's name and content, and of its type.
	noteHeaderSize = 12
)

// buildID reads the Go build ID from the file of the running program.
func buildID() (string, error) {
	path, err := os.Executable()
	if err != nil {
		return "", rcode.Wrap(err, rcode.Internal, "logs.buildID")
	}
	file, err := elf.Open(path)
	if err != nil {
		return "", rcode.Wrap(err, rcode.Internal, "logs.buildID %s", path)
	}
	defer func() { _ = file.Close() }()
	section := file.Section(buildIDSection)
	if section == nil {
		return "", rcode.New(rcode.Internal, "logs.buildID %s: no section %s", path, buildIDSection)
	}
	note, err := section.Data()
	if err != nil {
		return "", rcode.Wrap(err, rcode.Internal, "logs.buildID %s", path)
	}
	return noteContent(note, file.ByteOrder)
}

// noteContent returns the content of an ELF note, whose name is padded to whole words.
func noteContent(note []byte, order binary.ByteOrder) (string, error) {
	if len(note) < noteHeaderSize {
		return "", rcode.New(rcode.Internal, "logs.noteContent: note of %d bytes", len(note))
	}
	nameSize, size := uint64(order.Uint32(note)), uint64(order.Uint32(note[4:]))
	begin := noteHeaderSize + (nameSize+3)/4*4
	if begin+size > uint64(len(note)) {
		return "", rcode.New(rcode.Internal, "logs.noteContent: content of %d bytes from byte %d of %d", size, begin, len(note))
	}
	return string(bytes.TrimRight(note[begin:begin+size], "\x00")), nil
}
