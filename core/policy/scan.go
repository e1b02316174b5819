package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// shape is the set of field names that a part of the document may have.
type shape struct {
	fields map[string]*shape
	elem   *shape
}

var documentShape = shapeOf(reflect.TypeFor[Document]())

func shapeOf(t reflect.Type) *shape {
	switch t.Kind() {
	case reflect.Struct:
		s := &shape{fields: map[string]*shape{}}
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			s.fields[name] = shapeOf(t.Field(i).Type)
		}
		return s
	case reflect.Slice:
		return &shape{elem: shapeOf(t.Elem())}
	default:
		return &shape{}
	}
}

// scanner walks a document that encoding/json found valid. encoding/json does
// not report where a field stands, accepts names in any case and keeps the last
// of two fields with one name; the scanner reports these.
type scanner struct {
	raw     []byte
	pos     int
	path    []string
	offsets map[string]int
	faults  []Fault
}

func scanFaults(plain []byte) []Fault {
	s := &scanner{raw: plain}
	s.value(documentShape)
	return s.faults
}

// locate sets the line of each fault; a field that is left out has the line of
// the nearest part that holds it.
func locate(plain []byte, faults []Fault) {
	s := &scanner{raw: plain, offsets: map[string]int{}}
	s.value(documentShape)
	for i, f := range faults {
		off, ok := s.offsets[f.field]
		for p := f.field; !ok && p != ""; {
			p = p[:max(0, strings.LastIndexAny(p, ".["))]
			off, ok = s.offsets[p]
		}
		faults[i].line = lineAt(plain, off)
	}
}

func lineAt(raw []byte, off int) int {
	return 1 + bytes.Count(raw[:min(max(off, 0), len(raw))], []byte("\n"))
}

func (s *scanner) name() string { return strings.TrimPrefix(strings.Join(s.path, ""), ".") }

func (s *scanner) fault(off int, format string, args ...any) {
	s.faults = append(s.faults, Fault{field: s.name(), text: fmt.Sprintf(format, args...), line: lineAt(s.raw, off)})
}

func (s *scanner) space() {
	for s.pos < len(s.raw) && strings.IndexByte(" \t\r\n", s.raw[s.pos]) >= 0 {
		s.pos++
	}
}

func (s *scanner) value(sh *shape) {
	s.space()
	if s.pos >= len(s.raw) {
		return
	}
	if s.offsets != nil {
		s.offsets[s.name()] = s.pos
	}
	switch s.raw[s.pos] {
	case '{':
		s.object(sh)
	case '[':
		s.array(sh)
	case '"':
		s.str()
	default:
		for s.pos < len(s.raw) && strings.IndexByte(",]} \t\r\n", s.raw[s.pos]) < 0 {
			s.pos++
		}
	}
}

// str skips a string and returns its text without decoding escapes.
func (s *scanner) str() []byte {
	start := s.pos + 1
	for s.pos = start; s.pos < len(s.raw) && s.raw[s.pos] != '"'; s.pos++ {
		if s.raw[s.pos] == '\\' {
			s.pos++
		}
	}
	end := min(s.pos, len(s.raw))
	s.pos++
	return s.raw[start:end]
}

func (s *scanner) key() string {
	text := s.str()
	if bytes.IndexByte(text, '\\') < 0 {
		return string(text)
	}
	var name string
	if json.Unmarshal([]byte(`"`+string(text)+`"`), &name) != nil {
		return string(text)
	}
	return name
}

func (s *scanner) object(sh *shape) {
	var seen []string
	s.pos++
	for s.more('}') {
		off := s.pos
		name := s.key()
		s.path = append(s.path, "."+name)
		var field *shape
		if sh != nil && sh.fields != nil {
			field = sh.fields[name]
			if field == nil {
				s.fault(off, "unknown field")
			}
			if contains(seen, name) {
				s.fault(off, "field stands twice")
			}
			seen = append(seen, name)
		}
		s.space()
		s.pos++ // The colon.
		s.value(field)
		s.path = s.path[:len(s.path)-1]
	}
}

func contains(seen []string, name string) bool {
	for _, s := range seen {
		if s == name {
			return true
		}
	}
	return false
}

func (s *scanner) array(sh *shape) {
	var elem *shape
	if sh != nil {
		elem = sh.elem
	}
	s.pos++
	for i := 0; s.more(']'); i++ {
		s.path = append(s.path, fmt.Sprintf("[%d]", i))
		s.value(elem)
		s.path = s.path[:len(s.path)-1]
	}
}

// more skips to the next member and reports whether there is one.
func (s *scanner) more(end byte) bool {
	s.space()
	if s.pos < len(s.raw) && s.raw[s.pos] == ',' {
		s.pos++
		s.space()
	}
	if s.pos >= len(s.raw) {
		return false
	}
	if s.raw[s.pos] == end {
		s.pos++
		return false
	}
	return true
}
