package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// schema describes the fields that a value of the document may have.
type schema struct {
	name   string             // The field's name.
	bit    uint64             // The field's bit in the set of fields seen in its object.
	fields map[string]*schema // The fields of an object, nil for other types.
	elem   *schema            // The elements of an array.
}

var documentSchema = schemaOf(reflect.TypeFor[Document]())

// schemaOf derives a schema from the JSON tags of a type.
func schemaOf(t reflect.Type) *schema {
	switch t.Kind() {
	case reflect.Struct:
		s := &schema{fields: map[string]*schema{}}
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			field := schemaOf(t.Field(i).Type)
			field.name, field.bit = name, 1<<i
			s.fields[name] = field
		}
		return s
	case reflect.Slice:
		return &schema{elem: schemaOf(t.Elem())}
	default:
		return &schema{}
	}
}

// scanner walks a document whose syntax encoding/json accepted. encoding/json does
// not report the position of a field, matches names regardless of case and keeps the
// last of two fields with the same name. The scanner records the positions, if
// offsets is not nil, and reports unknown and duplicate fields.
type scanner struct {
	raw         []byte
	pos         int
	path        []pathElem
	offsets     map[string]int // Offset of each value by path.
	diagnostics []Diagnostic
}

// pathElem is a field name or array index of a path. It is formatted only when it is
// needed: a bundle of the planned size has 40,000 fields and usually no error.
type pathElem struct {
	name  string
	index int
}

func (s pathElem) String() string {
	if s.name == "" {
		return "[" + strconv.Itoa(s.index) + "]"
	}
	return s.name
}

// checkFields returns a diagnostic for each unknown or duplicate field.
func checkFields(plain []byte) []Diagnostic {
	s := &scanner{raw: plain}
	s.scanValue(documentSchema)
	return s.diagnostics
}

// setLines sets the line of each diagnostic. A field that the document omits gets
// the line of its nearest enclosing value.
func setLines(plain []byte, diagnostics []Diagnostic) {
	s := &scanner{raw: plain, offsets: map[string]int{}}
	s.scanValue(documentSchema)
	for i, f := range diagnostics {
		off, ok := s.offsets[f.field]
		for p := f.field; !ok && p != ""; {
			p = p[:max(0, strings.LastIndexAny(p, ".["))]
			off, ok = s.offsets[p]
		}
		diagnostics[i].line = lineAt(plain, off)
	}
}

// pathAt returns the path of the last value that starts before an offset. It is
// needed since the errors of encoding/json omit array indexes.
func pathAt(plain []byte, off int) string {
	s := &scanner{raw: plain, offsets: map[string]int{}}
	s.scanValue(documentSchema)
	path, start := "document", 0
	for p, o := range s.offsets {
		if p != "" && o >= start && o < off {
			path, start = p, o
		}
	}
	return path
}

// lineAt returns the number of the line with the byte at off, counted from 1.
func lineAt(raw []byte, off int) int {
	return 1 + bytes.Count(raw[:min(max(off, 0), len(raw))], []byte("\n"))
}

// pathString formats the current path, such as teams[2].limit.
func (s *scanner) pathString() string {
	var sb strings.Builder
	for i, p := range s.path {
		if i > 0 && p.name != "" {
			sb.WriteByte('.')
		}
		sb.WriteString(p.String())
	}
	return sb.String()
}

// report adds a diagnostic for the current path.
func (s *scanner) report(off int, format string, args ...any) {
	s.diagnostics = append(s.diagnostics, Diagnostic{field: s.pathString(), text: fmt.Sprintf(format, args...), line: lineAt(s.raw, off)})
}

func (s *scanner) skipSpace() {
	for s.pos < len(s.raw) {
		switch s.raw[s.pos] {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return
		}
	}
}

// scanValue skips one value and checks its fields against sh, which is nil for a
// value of an unknown field.
func (s *scanner) scanValue(sh *schema) {
	s.skipSpace()
	if s.pos >= len(s.raw) {
		return
	}
	if s.offsets != nil {
		s.offsets[s.pathString()] = s.pos
	}
	switch s.raw[s.pos] {
	case '{':
		s.scanObject(sh)
	case '[':
		s.scanArray(sh)
	case '"':
		s.scanString()
	default:
		for s.pos < len(s.raw) && strings.IndexByte(",]} \t\r\n", s.raw[s.pos]) < 0 {
			s.pos++
		}
	}
}

// scanString skips a string and returns its text with escapes left as they are.
func (s *scanner) scanString() []byte {
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

// scanFieldName skips a field's name and returns it with its escapes decoded.
func (s *scanner) scanFieldName() []byte {
	text := s.scanString()
	var name string
	if bytes.IndexByte(text, '\\') < 0 || json.Unmarshal([]byte(`"`+string(text)+`"`), &name) != nil {
		return text
	}
	return []byte(name)
}

func (s *scanner) scanObject(sh *schema) {
	var seen uint64
	s.pos++
	for s.nextElement('}') {
		off := s.pos
		name := s.scanFieldName()
		var field *schema
		if sh != nil {
			field = sh.fields[string(name)]
		}
		if field != nil {
			s.path = append(s.path, pathElem{name: field.name})
		} else {
			s.path = append(s.path, pathElem{name: quoteUnlessPlain(string(name))})
		}
		switch {
		case sh == nil || sh.fields == nil: // The object is in an unknown field or has a wrong type.
		case field == nil:
			s.report(off, "unknown field")
		case seen&field.bit != 0:
			s.report(off, "field appears twice")
		default:
			seen |= field.bit
		}
		s.skipSpace()
		s.pos++ // The colon.
		s.scanValue(field)
		s.path = s.path[:len(s.path)-1]
	}
}

// quoteUnlessPlain returns the name of an unknown field for use in a path. A name
// that is empty or has characters other than letters, digits and underscores, such
// as control characters, is quoted.
func quoteUnlessPlain(name string) string {
	if name != "" && strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_") == "" {
		return name
	}
	return strconv.Quote(name)
}

func (s *scanner) scanArray(sh *schema) {
	var elem *schema
	if sh != nil {
		elem = sh.elem
	}
	s.pos++
	for i := 0; s.nextElement(']'); i++ {
		s.path = append(s.path, pathElem{index: i})
		s.scanValue(elem)
		s.path = s.path[:len(s.path)-1]
	}
}

// nextElement skips to the next element of an object or array. It returns false
// after skipping the end character.
func (s *scanner) nextElement(end byte) bool {
	s.skipSpace()
	if s.pos < len(s.raw) && s.raw[s.pos] == ',' {
		s.pos++
		s.skipSpace()
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
