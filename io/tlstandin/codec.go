package tlstandin

import (
	"encoding/json"
	"net/http"

	"trefoillanding/core/tlwire"
)

// The reasons for which a stand-in refuses a call.
const (
	reasonOutage     = "Outage"
	reasonBadBody    = "BadBody"
	reasonUnknown    = "Unknown"
	reasonFull       = "Full"
	reasonCancelled  = "Cancelled"
	reasonDraining   = "Draining"
	reasonNoModel    = "NoModel"
	reasonWrongRole  = "WrongRole"
	reasonDuplicate  = "Duplicate"
	reasonOldFencing = "OldFencingNumber"
	reasonOtherOwner = "OtherOwner"
	reasonOverRate   = "OverRate"
	reasonMismatch   = "Mismatch"
	reasonSource     = "SourceFailed"
	reasonNotReady   = "NotReady"
)

// The errors that end a stream.
const (
	streamTaken     = "Taken"
	streamGone      = "Gone"
	streamFailed    = "Failed"
	streamNoMemory  = "OutOfMemory"
	streamCancelled = "Cancelled"
)

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	err := json.NewDecoder(r.Body).Decode(&v)
	if err != nil {
		refuse(w, http.StatusBadRequest, reasonBadBody, err.Error())
		return v, false
	}
	return v, true
}

func answer[T any](w http.ResponseWriter, v T) {
	answerStatus(w, http.StatusOK, v)
}

func answerStatus[T any](w http.ResponseWriter, status int, v T) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func refuse(w http.ResponseWriter, status int, reason, message string) {
	answerStatus(w, status, tlwire.EngineError{Reason: reason, Message: message})
}
