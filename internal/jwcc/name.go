package jwcc

import "regexp"

// NameForm says what IsName allows, for messages.
const NameForm = "1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit first"

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// IsName reports whether the text can name a service, search, host, data
// centre or note. Names are parts of URL paths and of "service/search" keys.
func IsName(text string) bool { return validName.MatchString(text) }
