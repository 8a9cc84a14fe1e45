package tlconfigcheck

import "fmt"

// Subject is what a finding or a difference is about.
type Subject string

// The subjects.
const (
	Configuration Subject = "Configuration"
	Organisation  Subject = "Organisation"
	Route         Subject = "Route"
	Service       Subject = "Service"
)

// Kind is the kind of a finding.
type Kind string

// The kinds of findings.
const (
	// Rejected configurations can't be decoded, and are used by no instance; those that are
	// NotNewer than the other version are not used where that one is known.
	Rejected Kind = "Rejected"
	NotNewer Kind = "NotNewer"
	// Ignored entries are left out, while the rest of the configuration is used.
	Ignored Kind = "Ignored"
	// RepeatedName means that several entries have one name.
	RepeatedName Kind = "RepeatedName"
	// HiddenRoute means that another route takes all requests of a route, ImpossibleHost
	// that no request can have its host.
	HiddenRoute    Kind = "HiddenRoute"
	ImpossibleHost Kind = "ImpossibleHost"
	// NoWeight means that a target of a route has no weight: no request goes to it, or all
	// if it is the last of a route whose targets have none.
	NoWeight Kind = "NoWeight"
	// UndeclaredService and UnusedService mean that a route names a service that is not
	// declared, and that no route names one that is.
	UndeclaredService Kind = "UndeclaredService"
	UnusedService     Kind = "UnusedService"
	// NoKeys means that an organisation has no keys, NoOrganisation that none can be used
	// though some are configured.
	NoKeys         Kind = "NoKeys"
	NoOrganisation Kind = "NoOrganisation"
	// SmallBurst means that a burst is below the cost of one request, BurstWithoutRate that
	// a burst has no effect, and FreeRequests that requests without tokens cost nothing.
	SmallBurst       Kind = "SmallBurst"
	BurstWithoutRate Kind = "BurstWithoutRate"
	FreeRequests     Kind = "FreeRequests"
	// ShortTimeout means that a timeout is below an objective.
	ShortTimeout Kind = "ShortTimeout"
	// UnpaidAttempts means that the retry budget can't pay the attempts of a request.
	UnpaidAttempts Kind = "UnpaidAttempts"
)

// Finding is something wrong in a configuration.
type Finding struct {
	Kind    Kind
	Subject Subject
	// Name is the name of the entry; empty for the configuration.
	Name string
	// Text says what is wrong.
	Text string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s (%s)", title(f.Subject, f.Name), f.Text, f.Kind)
}

// title returns the name of an entry with its subject. Names are quoted where a line
// couldn't hold them.
func title(s Subject, name string) string {
	if name == "" {
		return string(s)
	}
	return fmt.Sprintf("%s %s", s, printable(name))
}

// printable quotes a text that is empty or contains spaces, quotes or control characters.
func printable(s string) string {
	q := fmt.Sprintf("%q", s)
	if s != "" && q == `"`+s+`"` {
		for _, c := range s {
			if c == ' ' {
				return q
			}
		}
		return s
	}
	return q
}
