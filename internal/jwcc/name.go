package jwcc

import "regexp"

// NameForm describes the names that IsName allows, for error messages.
const NameForm = "1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit first"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// IsName reports whether text is a valid name of a service, search, host, data
// centre or note. Names are parts of URL paths and of "service/search" keys.
func IsName(text string) bool { return namePattern.MatchString(text) }
