package tlload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlanswer"
)

const (
	paymentTimeout      = 15 * time.Second
	paymentMaxIdleConns = 64
	keyHeader           = "Idempotency-Key"
	verdictHeader       = "Trefoil-Verdict"
)

// PaymentPlan bounds a load of calls that must not run twice. Each is sent to
// several instances at once, and again until one of them has answered.
type PaymentPlan struct {
	// Instances are the instances that calls are sent to.
	Instances []netip.AddrPort
	// Endpoints are the stand-in endpoints whose records of runs are compared
	// with the answers.
	Endpoints []netip.AddrPort
	// Service and Path are the service and the path that are called.
	Service string
	Path    string
	// Calls is the number of calls, each with an idempotency key of its own.
	Calls int
	// Rate is the number of calls started per second.
	Rate float64
	// Rounds bounds how often a call is sent while it has no answer.
	Rounds int
	// RoundInterval is the time between two rounds of a call.
	RoundInterval time.Duration
}

// payment counts the verdicts that the caller of one idempotency key got.
type payment struct {
	key        string
	answered   int
	notRun     int
	mayHaveRun int
}

// RunPayments runs a plan and compares the answers with the endpoints' records.
func RunPayments(ctx context.Context, p PaymentPlan) (*PaymentSummary, error) {
	client := &http.Client{
		Timeout:   paymentTimeout,
		Transport: tlanswer.New(&http.Transport{MaxIdleConnsPerHost: paymentMaxIdleConns}),
	}
	defer client.CloseIdleConnections()
	payments := make([]payment, p.Calls)
	limit := rate.NewLimiter(rate.Limit(p.Rate), 1)
	start := time.Now()
	var running sync.WaitGroup
	for i := range payments {
		if limit.Wait(ctx) != nil {
			return nil, ctx.Err()
		}
		payments[i].key = uuid.Must(uuid.NewV7()).String()
		running.Go(func() { p.sendUntilAnswered(ctx, client, &payments[i]) })
	}
	running.Wait()
	runs, err := p.countRuns(ctx, client)
	if err != nil {
		return nil, err
	}
	s := summarisePayments(payments, runs)
	s.Elapsed = time.Since(start)
	return s, nil
}

// sendUntilAnswered sends a call to two or three instances at once, round by
// round, until one has answered it or the rounds are used up.
func (p PaymentPlan) sendUntilAnswered(ctx context.Context, client *http.Client, v *payment) {
	for round := range p.Rounds {
		if round > 0 {
			time.Sleep(p.RoundInterval)
		}
		verdicts := p.sendToSeveral(ctx, client, v.key)
		for _, d := range verdicts {
			switch d {
			case tlwire.VerdictRan:
				v.answered++
			case tlwire.VerdictNotRun:
				v.notRun++
			default:
				v.mayHaveRun++
			}
		}
		if v.answered > 0 {
			return
		}
	}
}

func (p PaymentPlan) sendToSeveral(ctx context.Context, client *http.Client, key string) []tlwire.Verdict {
	some := rand.Perm(len(p.Instances))
	some = some[:min(len(some), 2+rand.IntN(2))]
	verdicts := make([]tlwire.Verdict, len(some))
	var all sync.WaitGroup
	for i, n := range some {
		all.Go(func() { verdicts[i] = p.send(ctx, client, p.Instances[n], key) })
	}
	all.Wait()
	return verdicts
}

// send makes one call; after a lost connection the verdict is MayHaveRun.
func (p PaymentPlan) send(ctx context.Context, client *http.Client, to netip.AddrPort, key string) tlwire.Verdict {
	url := fmt.Sprintf("http://%s/v1/services/%s%s", to, p.Service, p.Path)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString("{}"))
	if err != nil {
		return tlwire.VerdictNotRun
	}
	r.Header.Set(keyHeader, key)
	a, err := client.Do(r)
	if err != nil {
		return tlwire.VerdictMayHaveRun
	}
	defer func() { _ = a.Body.Close() }()
	if _, err = io.Copy(io.Discard, a.Body); err != nil {
		return tlwire.VerdictMayHaveRun
	}
	if a.StatusCode < http.StatusMultipleChoices {
		return tlwire.VerdictRan
	}
	return tlwire.Verdict(a.Header.Get(verdictHeader))
}

// countRuns counts the runs of each key in the endpoints' records.
func (p PaymentPlan) countRuns(ctx context.Context, client *http.Client) (map[string]int, error) {
	n := map[string]int{}
	for _, e := range p.Endpoints {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/control/runs", e), nil)
		if err != nil {
			return nil, err
		}
		a, err := client.Do(r)
		if err != nil {
			return nil, err
		}
		var l tlwire.RunList
		err = json.NewDecoder(a.Body).Decode(&l)
		_ = a.Body.Close()
		if err != nil {
			return nil, err
		}
		for _, v := range l.Runs {
			n[v.Key]++
		}
	}
	return n, nil
}
