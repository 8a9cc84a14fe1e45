package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlcaller"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlstandin"
)

// demoTries is the maximum number of tries of a request of the demonstration's caller.
const demoTries = 5

// show runs the steps of the demonstration and prints their results.
func (d *demonstration) show(ctx context.Context, w io.Writer) error {
	var known []netip.AddrPort
	for _, s := range d.settings {
		known = append(known, s.Listen)
	}
	if err := d.showApply(ctx, w); err != nil {
		return err
	}
	c := tlcaller.New(known, demoTries)
	defer c.Close()
	if err := d.showSummary(ctx, w, c); err != nil {
		return err
	}
	if err := d.showPayment(ctx, w); err != nil {
		return err
	}
	if err := d.showRefusal(ctx, w); err != nil {
		return err
	}
	return d.showCounters(ctx, w)
}

func (d *demonstration) showApply(ctx context.Context, w io.Writer) error {
	data, err := yaml.Marshal(d.deployment.Config())
	if err != nil {
		return err
	}
	call := tlwire.ApplyCall{Files: []tlwire.ApplyFile{{Name: "yengec", Data: data}}, Nonce: "demo"}
	a, err := request[tlwire.ApplyAnswer](ctx, http.MethodPost, d.url(0, "/v1/operator/configuration"), "", call)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/v1/operator/in-force?Generation=%d&Wait=8s", a.Generation)
	s, err := request[tlwire.InForceStatus](ctx, http.MethodGet, d.url(1, path), "", nil)
	if err != nil {
		return err
	}
	if len(s.Behind) > 0 {
		return fmt.Errorf("the configuration is not in force on %v", s.Behind)
	}
	fmt.Fprintf(w, "An operator applies the configuration: generation %d is in force on every instance.\n\n", a.Generation)
	return nil
}

func (d *demonstration) showPayment(ctx context.Context, w io.Writer) error {
	const key = "pay-supplier-17"
	fmt.Fprintln(w, "A kiosk pays a supplier, and sends the same payment again through another instance:")
	for n := range 2 {
		status, verdict, body, err := sendPlain(ctx, http.MethodPost, d.url(n, "/v1/services/order-desk/payments"), key, `{"Supplier":"fish","Amount":120}`)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "  %s answered %d %s: %s\n", d.settings[n].Name, status, verdict, body)
	}
	runs := d.deployment.Runs(key)
	fmt.Fprintf(w, "The order desk ran it %d time(s).\n\n", runs)
	if runs != 1 {
		return fmt.Errorf("the payment ran %d times", runs)
	}
	return nil
}

func (d *demonstration) showRefusal(ctx context.Context, w io.Writer) error {
	fmt.Fprintln(w, "A payment without an Idempotency-Key is refused:")
	status, verdict, body, err := sendPlain(ctx, http.MethodPost, d.url(0, "/v1/services/order-desk/payments"), "", "{}")
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "  %d %s: %s\n\n", status, verdict, body)
	if verdict != string(tlwire.VerdictNotRun) {
		return fmt.Errorf("the verdict is %q", verdict)
	}
	return nil
}

// showCounters prints the counters of each instance that are not zero.
func (d *demonstration) showCounters(ctx context.Context, w io.Writer) error {
	for n, s := range d.settings {
		vars, err := request[map[string]json.RawMessage](ctx, http.MethodGet, d.url(n, "/debug/vars"), "", nil)
		if err != nil {
			return err
		}
		var groups map[string]map[string]int64
		if err := json.Unmarshal(vars[tlmetric.Root], &groups); err != nil {
			return err
		}
		fmt.Fprintf(w, "Counters of %s:", s.Name)
		for _, g := range slices.Sorted(maps.Keys(groups)) {
			for _, c := range slices.Sorted(maps.Keys(groups[g])) {
				if v := groups[g][c]; v != 0 {
					fmt.Fprintf(w, " %s.%s=%d", g, c, v)
				}
			}
		}
		fmt.Fprintln(w)
	}
	return nil
}

func (d *demonstration) url(n int, path string) string {
	return fmt.Sprintf("http://%s%s", d.settings[n].Listen, path)
}

func (d *demonstration) showSummary(ctx context.Context, w io.Writer, c *tlcaller.Caller) error {
	q := tlwire.CompletionRequest{
		Model:     "kiosk-llm",
		Prompt:    "Summarise the menu of the kiosk at the harbour. " + strings.Repeat("Crab, lemon, dill. ", 200) + "answer=60",
		MaxTokens: 100,
		User:      "demo",
	}
	fmt.Fprintln(w, "A kiosk asks for a summary and reads it as a stream:")
	r, err := c.Stream(ctx, q, func(_ int, text string) { fmt.Fprint(w, text) })
	if err != nil {
		return err
	}
	if r.Text != tlstandin.Answer(q.Prompt, 0, r.Tokens) {
		return fmt.Errorf("the answer differs from the tokens that the engine produced")
	}
	fmt.Fprintf(w, "\n%d tokens, each once and in order; the first after %s, longest gap %s\n\n", r.Tokens, r.FirstToken, r.LongestGap)
	return nil
}
