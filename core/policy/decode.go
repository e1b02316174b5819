package policy

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
)

// Decode decodes a document, compressed or plain. It rejects unknown fields, since
// a misspelt limit would be ignored silently, and duplicate fields, since a
// reviewer may read one value and the VMs apply the other.
func Decode(raw []byte) (*Document, error) {
	plain, err := Unpack(raw)
	if err != nil {
		return nil, err
	}
	d, diagnostics := parse(plain)
	if len(diagnostics) > 0 {
		return nil, diagnosticsError("Decode", diagnostics)
	}
	return d, nil
}

// Inspect decodes a document, compressed or plain, sets its defaults and validates
// it. It returns all diagnostics with their lines. The document is nil if it could
// not be decoded.
func Inspect(raw []byte) (*Document, []Diagnostic) {
	plain, err := Unpack(raw)
	if err != nil {
		return nil, []Diagnostic{{field: "document", text: err.Error()}}
	}
	d, diagnostics := parse(plain)
	if len(diagnostics) > 0 {
		return nil, diagnostics
	}
	d.Defaults()
	diagnostics = d.Check()
	if len(diagnostics) > 0 {
		setLines(plain, diagnostics)
	}
	return d, diagnostics
}

// parse decodes a plain document and returns the diagnostics of its JSON syntax,
// field names and types.
func parse(plain []byte) (*Document, []Diagnostic) {
	var d Document
	err := json.Unmarshal(plain, &d)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return nil, []Diagnostic{{field: "document", text: syntax.Error(), line: lineAt(plain, int(syntax.Offset))}}
	}
	diagnostics := checkFields(plain)
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr):
		text := fmt.Sprintf("got %s, want %s", typeErr.Value, jsonKind(typeErr.Type))
		diagnostics = append(diagnostics, Diagnostic{field: pathAt(plain, int(typeErr.Offset)), text: text, line: lineAt(plain, int(typeErr.Offset))})
	case err != nil:
		diagnostics = append(diagnostics, Diagnostic{field: "document", text: err.Error()})
	}
	if len(diagnostics) > 0 {
		return nil, diagnostics
	}
	return &d, nil
}

// jsonKind returns the name of a Go type's JSON type for error messages.
func jsonKind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "object"
	case reflect.Slice:
		return "array"
	case reflect.Bool:
		return "boolean"
	case reflect.String:
		return "string"
	default:
		return "whole number"
	}
}
