package tlconfig

import "trefoillanding/core/tlwire"

// Anonymous is the organisation of all callers while no organisation is declared.
var Anonymous = tlwire.Organisation{Name: "anonymous", Weight: 1}

// OrganisationFor returns a caller's organisation: the one that its token
// belongs to, or else the one that it names, unless that one has a token. It
// returns false if there is none although organisations are declared.
func (c *Config) OrganisationFor(token, user string) (tlwire.Organisation, bool) {
	if o, ok := c.organisationsByToken[token]; ok && token != "" {
		return o, true
	}
	if o, ok := c.organisationsByName[user]; ok && o.Token == "" {
		return o, true
	}
	return Anonymous, len(c.organisationsByName) == 0
}
