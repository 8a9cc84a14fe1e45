package tlload

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"trefoillanding/core/tlprompt"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlcaller"
)

// callers is how many callers share a load, each with its own choice of instance.
const callers = 20

// organisations is how many organisations the requests come from.
const organisations = 5

// Run carries out a plan and returns when its last request has ended.
func Run(ctx context.Context, p Plan) *Summary {
	s := newSummary()
	var all []*tlcaller.Caller
	for range callers {
		c := tlcaller.New(p.BootstrapInstances, p.Tries)
		defer c.Close()
		all = append(all, c)
	}
	start := time.Now()
	limit := rate.NewLimiter(rate.Limit(p.Rate), 1)
	var running sync.WaitGroup
	for n := range p.Requests {
		if limit.Wait(ctx) != nil {
			break
		}
		running.Go(func() { p.one(ctx, all[n%callers], n, s) })
	}
	running.Wait()
	s.Elapsed = time.Since(start)
	return s
}

func (p Plan) one(ctx context.Context, c *tlcaller.Caller, n int, s *Summary) {
	ctx, stop := context.WithTimeout(ctx, p.RequestTimeout)
	defer stop()
	q := tlwire.CompletionRequest{
		Model:     p.Service,
		Prompt:    p.prompt(n),
		MaxTokens: p.MaxTokens,
		User:      fmt.Sprintf("organisation-%d", n%organisations),
	}
	r, err := c.Stream(ctx, q, nil)
	isRight := err != nil || p.Check == nil || p.Check(q.Prompt, r.Text, r.Tokens)
	s.add(r, isRight, err)
}

// prompt returns a prompt of the plan's length that differs from all others.
func (p Plan) prompt(n int) string {
	head := fmt.Sprintf("request %d answer=%d ", n, p.MaxTokens)
	rest := max(0, p.PromptTokens*tlprompt.TokenBytes-len(head))
	return head + strings.Repeat("crab ", rest/5+1)[:rest]
}
