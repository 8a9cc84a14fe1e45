package tlentry

import (
	"context"
	"net/http"
	"strings"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) error {
	s, err := e.plainService(r.PathValue("service"))
	if err != nil {
		return err
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(r.Context(), e.deps.Settings.Limits.RequestTimeout)
	defer stop()
	a, err := e.deps.Plain(ctx, s, PlainCall{
		Method: r.Method,
		Path:   "/" + pathBelow(r, s.Name),
		Query:  r.URL.RawQuery,
		Header: r.Header,
		Body:   body,
	})
	if err != nil {
		return err
	}
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	return nil
}

func (e *Entry) plainService(name string) (tlwire.Service, error) {
	_, c := e.deps.Config()
	if c == nil {
		return tlwire.Service{}, noConfigError()
	}
	s, ok := c.Service(name)
	if !ok || s.Kind != tlwire.ServiceKindPlain {
		return tlwire.Service{}, tlverdict.New(tlverdict.UnknownService, "no plain service is named %q", name)
	}
	return s, nil
}

// pathBelow returns the escaped path after the service's name, without the leading slash.
func pathBelow(r *http.Request, service string) string {
	_, path, _ := strings.Cut(r.URL.EscapedPath(), "/v1/services/"+service+"/")
	return path
}
