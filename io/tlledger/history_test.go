package tlledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const (
	seedsInCI   = 200
	clockSpeed  = 5000
	testKeys    = 4
	testCallers = 4
	testCalls   = 5
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

// operation is one event of a key's history: a run at the endpoint, or a call
// of a caller and what it was told.
type operation struct {
	key     int
	attempt uint64
	isRun   bool
}

type result struct {
	verdict tlwire.Verdict
	answer  uint64
}

// onceModel lets each key run at most once, and be answered with that run only.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, testKeys)
		for _, o := range history {
			k := o.Input.(operation).key
			parts[k] = append(parts[k], o)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		ran, o, r := state.(uint64), input.(operation), output.(result)
		switch {
		case o.isRun:
			return ran == 0, o.attempt
		case r.verdict == tlwire.VerdictRan:
			return ran != 0 && ran == r.answer, ran
		case r.verdict == tlwire.VerdictNotRun:
			return ran == 0 || ran != o.attempt, ran
		}
		return true, ran
	},
}

// world runs callers against instances that share one log.
type world struct {
	log    *fakeLog
	seed   uint64
	broken bool
	start  time.Time
	nonce  atomic.Uint64

	mu        sync.Mutex
	history   []porcupine.Operation
	instances []*node
}

// node is one instance: a home and a ledger that die together.
type node struct {
	home   *Home
	ledger *Ledger
	dead   atomic.Bool
}

var errDead = errors.New("the instance is dead")

func (w *world) newNode() *node {
	n := &node{}
	n.home = NewHome(HomeOptions{
		Log:              w.log.log(),
		Streams:          2,
		AppendsPerSecond: 5000,
		BatchDelay:       time.Millisecond,
		Resolve:          25 * time.Millisecond,
		Idle:             time.Hour,
		Now:              w.log.clock.now,
	})
	n.ledger = NewLedger(LedgerOptions{
		Streams:        2,
		DefaultTimeout: 60 * time.Millisecond,
		HomeOf:         func(int) string { return "any" },
		Claim: func(ctx context.Context, _ string, c tlwire.ClaimCall) (tlwire.ClaimAnswer, error) {
			return w.claim(ctx, n, c)
		},
		Note: func(ctx context.Context, _ string, v tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error) {
			w.log.stall()
			if n.dead.Load() {
				return tlwire.ClaimNoteAnswer{}, errDead
			}
			return w.anyHome().Note(ctx, v)
		},
		Nonce: func() uint64 { return w.nonce.Add(1) },
		Count: func(string, int64) {},
	})
	return n
}

// claim asks any instance as the home, so that several believe that they are it.
func (w *world) claim(ctx context.Context, n *node, c tlwire.ClaimCall) (tlwire.ClaimAnswer, error) {
	w.log.stall()
	a := w.anyHome().Claim(ctx, c)
	w.log.stall()
	if n.dead.Load() {
		return a, errDead
	}
	if w.broken && a.IsUnresolved {
		return tlwire.ClaimAnswer{Kind: tlwire.ClaimAnswerKindHolder}, nil
	}
	if w.log.draw(0.02) {
		return tlwire.ClaimAnswer{}, errFault
	}
	return a, nil
}

func (w *world) anyHome() *Home {
	return w.anyNode().home
}

func (w *world) anyNode() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[rand.IntN(len(w.instances))]
}

func (w *world) record(o operation, r result, call, end time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{
		Input: o, Output: r, Call: call.Sub(w.start).Nanoseconds(), Return: end.Sub(w.start).Nanoseconds(),
	})
}

// call is one call of a caller with a key.
func (w *world) call(key int, name string) result {
	n := w.anyNode()
	call := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Millisecond)
	defer cancel()
	c, err := n.ledger.Claim(ctx, "order-desk", name, tlclaim.NewDigest([]byte(name)))
	o := operation{key: key, attempt: c.claim.Nonce}
	r := result{verdict: tlwire.VerdictMayHaveRun}
	switch {
	case err != nil:
		r.verdict = tlverdict.Of(err).Verdict
	case c.Answer != nil:
		r = result{verdict: tlwire.VerdictRan, answer: uint64(c.Answer.BodyBytes)}
	default:
		r = w.send(n, o, c)
	}
	w.record(o, r, call, time.Now())
	return r
}

// send is the endpoint: it runs whatever reaches it, and the answer may be lost.
func (w *world) send(n *node, o operation, c Claimed) result {
	w.log.stall()
	if n.dead.Load() {
		return result{verdict: tlwire.VerdictMayHaveRun}
	}
	if w.log.draw(0.1) {
		n.ledger.Release(c)
		return result{verdict: tlwire.VerdictNotRun}
	}
	at := time.Now()
	w.record(operation{key: o.key, attempt: o.attempt, isRun: true}, result{}, at, time.Now())
	w.log.stall()
	if w.log.draw(0.1) {
		n.ledger.Outcome(c, nil)
		return result{verdict: tlwire.VerdictMayHaveRun}
	}
	n.ledger.Outcome(c, &tlwire.StoredAnswer{Status: 201, BodyBytes: int64(o.attempt)})
	return result{verdict: tlwire.VerdictRan, answer: o.attempt}
}

// kill replaces an instance by one that knows nothing.
func (w *world) kill(i int) *node {
	n := w.newNode()
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.instances[i]
	old.dead.Store(true)
	w.instances[i] = n
	return old
}

func timedKey(t time.Time) string {
	u := uuid.Must(uuid.NewV7())
	ms := t.UnixMilli()
	for i := 5; i >= 0; i-- {
		u[i] = byte(ms)
		ms >>= 8
	}
	return u.String()
}

func newWorld(seed uint64, broken bool) *world {
	clock := newFakeClock(clockSpeed)
	f := faults{
		refused: 0.1, lostBefore: 0.1, lostAfter: 0.15, late: 0.1, readFails: 0.1,
		pause: 40 * time.Millisecond,
	}
	if seed%3 == 0 {
		f.keep = 8 * time.Minute
	}
	w := &world{log: newFakeLog(seed, clock, f), seed: seed, broken: broken, start: time.Now()}
	for range 3 {
		w.instances = append(w.instances, w.newNode())
	}
	return w
}

// run lets callers race over a few keys while instances die and the log goes out.
func (w *world) run() {
	names := make([]string, testKeys)
	for i := range names {
		skew := time.Duration(w.log.between(2*tlclaim.KeySkew)) - tlclaim.KeySkew
		names[i] = timedKey(w.log.clock.now().Add(skew))
	}
	names[0] = "pay-17"
	var callers sync.WaitGroup
	for range testCallers {
		callers.Go(func() {
			for range testCalls {
				k := rand.IntN(testKeys)
				w.call(k, names[k])
			}
		})
	}
	time.Sleep(w.log.between(30 * time.Millisecond))
	dead := []*node{w.kill(0)}
	w.log.setOutage(w.seed%2 == 0)
	time.Sleep(w.log.between(60 * time.Millisecond))
	w.log.setOutage(false)
	dead = append(dead, w.kill(1))
	callers.Wait()
	for _, n := range append(dead, w.instances...) {
		n.close()
	}
	w.log.landing.Wait()
}

func (n *node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	n.ledger.Close(ctx)
	n.home.Close()
}

// verify returns what is wrong with the history.
func (w *world) verify() error {
	if porcupine.CheckOperationsTimeout(onceModel, w.history, 10*time.Second) == porcupine.Illegal {
		return fmt.Errorf("seed %d: a key ran twice, or was answered with what did not run:\n%s", w.seed, w.illegal())
	}
	told := map[uint64]bool{}
	for _, o := range w.history {
		if !o.Input.(operation).isRun && o.Output.(result).verdict == tlwire.VerdictNotRun {
			told[o.Input.(operation).attempt] = true
		}
	}
	for _, o := range w.history {
		if in := o.Input.(operation); in.isRun && told[in.attempt] {
			return fmt.Errorf("seed %d: attempt %d was told NotRun and ran", w.seed, in.attempt)
		}
	}
	return nil
}

// illegal lists the operations of the keys whose history is wrong, with times in nanoseconds.
func (w *world) illegal() string {
	var b strings.Builder
	for _, part := range onceModel.Partition(w.history) {
		if porcupine.CheckOperationsTimeout(onceModel, part, time.Second) != porcupine.Illegal {
			continue
		}
		for _, o := range part {
			fmt.Fprintf(&b, "%d to %d: %+v, told %+v\n", o.Call, o.Return, o.Input, o.Output)
		}
	}
	return b.String()
}

func seeds() uint64 {
	n, err := strconv.ParseUint(os.Getenv("TL_SEEDS"), 10, 64)
	if err != nil {
		return seedsInCI
	}
	return n
}

// overSeeds runs a function for each seed, a few at a time.
func overSeeds(n uint64, f func(seed uint64)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, 8)
	for seed := range n {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			f(seed)
		})
	}
	all.Wait()
}

func TestHistoryRunsEachKeyAtMostOnce(t *testing.T) {
	var ran, replayed, notRun, mayHaveRun atomic.Int64
	overSeeds(seeds(), func(seed uint64) {
		w := newWorld(seed, false)
		w.run()
		assert.NoError(t, w.verify())
		for _, o := range w.history {
			in, out := o.Input.(operation), o.Output.(result)
			switch {
			case in.isRun:
				ran.Add(1)
			case out.verdict == tlwire.VerdictRan:
				replayed.Add(1)
			case out.verdict == tlwire.VerdictNotRun:
				notRun.Add(1)
			default:
				mayHaveRun.Add(1)
			}
		}
	})
	t.Logf("ran %d; answered %d, NotRun %d, MayHaveRun %d", ran.Load(), replayed.Load(), notRun.Load(), mayHaveRun.Load())
	require.Positive(t, ran.Load())
}

// A ledger that takes an unresolved claim for its own must be caught.
func TestHistoryCatchesABrokenLedger(t *testing.T) {
	var caught atomic.Int64
	overSeeds(40, func(seed uint64) {
		w := newWorld(seed, true)
		w.run()
		if w.verify() != nil {
			caught.Add(1)
		}
	})
	t.Logf("caught in %d of 40 seeds", caught.Load())
	assert.Positive(t, caught.Load())
}
