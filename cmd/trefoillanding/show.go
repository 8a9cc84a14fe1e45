package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlcaller"
	"trefoillanding/io/tlstandin"
)

// demoTries is how often the demonstration's caller tries a request.
const demoTries = 5

// show lets a caller use the system and prints what comes of it.
func (d *demonstration) show(ctx context.Context, w io.Writer) error {
	var known []netip.AddrPort
	for _, s := range d.settings {
		known = append(known, s.Listen)
	}
	for _, i := range d.instances {
		i.Use(1, tlconfig.New(d.deployment.Config()))
	}
	c := tlcaller.New(known, demoTries)
	defer c.Close()
	return d.showSummary(ctx, w, c)
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
		return fmt.Errorf("the answer differs from what the engine produced")
	}
	fmt.Fprintf(w, "\n%d tokens, each once and in order; the first after %s, longest gap %s\n\n", r.Tokens, r.FirstToken, r.LongestGap)
	return nil
}
