package main

import "strings"

// isValidName reports whether s is a valid name in a bundle.
func isValidName(s string) bool {
	return s != "" && len(s) <= 63 && strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}
