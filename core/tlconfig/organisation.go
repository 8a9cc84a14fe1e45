package tlconfig

import "trefoillanding/core/tlwire"

// Anonymous is the organisation of all callers while none is declared.
var Anonymous = tlwire.Organisation{Name: "anonymous", Weight: 1}

// OrganisationFor returns who a caller belongs to: the organisation of its
// token, or else the one that it names, unless that one has a token.
func (c *Config) OrganisationFor(token, user string) (tlwire.Organisation, bool) {
	if o, ok := c.tokens[token]; ok && token != "" {
		return o, true
	}
	if o, ok := c.names[user]; ok && o.Token == "" {
		return o, true
	}
	return Anonymous, len(c.names) == 0
}
