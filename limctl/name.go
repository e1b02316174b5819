package main

import "strings"

// plainName reports whether s has the form of every name in a bundle.
func plainName(s string) bool {
	return s != "" && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
