package jwcc

import "regexp"

// NameRule describes the names that IsValidName allows, for error messages.
const NameRule = "1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit first"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// IsValidName reports whether text is a valid name of a service, search, host, data
// centre or note. Names are parts of URL paths and of "service/search" keys.
func IsValidName(text string) bool { return namePattern.MatchString(text) }
