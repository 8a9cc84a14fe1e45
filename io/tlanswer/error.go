package tlanswer

// Defect says what keeps an answer from counting as one.
type Defect string

// The defects of answers.
const (
	// Unproved is the end of a connection that proves nothing, as the request was not written whole.
	Unproved Defect = "the answer ended with its connection before the request was written"
	// BadVersion is a version other than HTTP/1 on a connection without TLS, which negotiates others.
	BadVersion Defect = "the answer is not of HTTP/1"
	// BadStatus is a status outside of 100 to 599.
	BadStatus Defect = "the answer has an invalid status"
	// BadSwitch is a switch to another protocol that the request did not ask for.
	BadSwitch Defect = "the answer switches to another protocol unasked"
	// BadName is the name of a field, of an interim answer or a trailer too, that is no token.
	BadName Defect = "the answer has a field with an invalid name"
	// TooLong is a number of interim heads that together exceed the limit of a head.
	TooLong Defect = "the interim answers have too many bytes"
)

// Error describes an answer that counts as none; its request may have run.
type Error struct {
	Defect Defect
	// Detail is the part of the answer that shows the defect, quoted; it may be empty.
	Detail string
}

// Error returns the defect and its detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return string(e.Defect)
	}
	return string(e.Defect) + ": " + e.Detail
}
