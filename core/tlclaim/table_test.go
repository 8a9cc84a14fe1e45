package tlclaim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

var start = time.UnixMilli(1_800_000_000_000)

func record[T tlrecord.Body](b T) []byte {
	data, err := tlrecord.Encode(b)
	if err != nil {
		panic(err)
	}
	return data
}

func claim(key string, nonce uint64) []byte {
	d := NewDigest([]byte("body"))
	return record(tlwire.Claim{Service: "s", Key: key, Digest: d[:], Nonce: nonce})
}

func outcome(nonce uint64) []byte {
	return record(tlwire.Outcome{Service: "s", Key: "k", Nonce: nonce, Answer: &tlwire.StoredAnswer{Status: 201}})
}

func lost(nonce uint64) []byte {
	return record(tlwire.Outcome{Service: "s", Key: "k", Nonce: nonce, IsUnknown: true})
}

func release(nonce uint64) []byte {
	return record(tlwire.Release{Service: "s", Key: "k", Nonce: nonce})
}

func fold(t *Table, from uint64, records ...[]byte) {
	for i, r := range records {
		t.Apply(tlwire.LogRecord{Offset: from + uint64(i), Time: start.Add(time.Duration(i) * time.Second), Data: r})
	}
}

func TestFold(t *testing.T) {
	cases := []struct {
		name    string
		records [][]byte
		state   State
		nonce   uint64
	}{
		{"1 nothing", nil, Free, 0},
		{"2 first claim holds", [][]byte{claim("k", 1), claim("k", 2)}, Held, 1},
		{"3 outcome of the holder", [][]byte{claim("k", 1), outcome(1)}, Answered, 1},
		{"4 outcome of another", [][]byte{claim("k", 1), claim("k", 2), outcome(2)}, Held, 1},
		{"5 lost answer", [][]byte{claim("k", 1), lost(1)}, Unknown, 1},
		{"6 answer after a lost one", [][]byte{claim("k", 1), lost(1), outcome(1)}, Answered, 1},
		{"7 release", [][]byte{claim("k", 1), release(1)}, Released, 1},
		{"8 release of another", [][]byte{claim("k", 1), release(2)}, Held, 1},
		{"9 no release after the outcome", [][]byte{claim("k", 1), outcome(1), release(1)}, Answered, 1},
		{"10 claim after a release", [][]byte{claim("k", 1), release(1), claim("k", 2)}, Held, 2},
		{"11 a losing claim stays void", [][]byte{claim("k", 1), claim("k", 2), release(1)}, Released, 1},
		{"12 released twice into the log", [][]byte{claim("k", 1), release(1), claim("k", 1)}, Released, 1},
		{"13 release before its claim", [][]byte{release(1), claim("k", 1)}, Released, 1},
		{"14 unknown data", [][]byte{{0xff}, claim("k", 1)}, Held, 1},
		{"15 no second claim after an outcome", [][]byte{claim("k", 1), outcome(1), claim("k", 2)}, Answered, 1},
		{"16 late claim after two releases", [][]byte{release(1), claim("k", 2), release(2), claim("k", 1)}, Released, 2},
		{"17 late claim after another's release", [][]byte{claim("k", 2), release(1), release(2), claim("k", 1)}, Released, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			fold(table, 1, c.records...)
			e := table.Lookup(NewID("s", "k"))
			assert.Equal(t, c.state, e.State)
			assert.Equal(t, c.nonce, e.Nonce)
		})
	}
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

func TestCoverageAfterRetention(t *testing.T) {
	table := NewTable()
	fold(table, 1, claim("a", 1), claim("b", 2), claim("c", 3))
	assert.True(t, table.Coverage().Covers("pay-17"))
	table.Drop(2)
	assert.Equal(t, 2, table.Len())
	c := table.Coverage()
	assert.False(t, c.Covers("pay-17"), "a key without age may have been dropped")
	assert.False(t, c.Covers(timedKey(start)))
	assert.False(t, c.Covers(timedKey(start.Add(KeySkew))))
	assert.True(t, c.Covers(timedKey(start.Add(KeySkew+time.Millisecond))))
}

func TestRestartKnowsNothingBefore(t *testing.T) {
	table := NewTable()
	fold(table, 1, claim("k", 1))
	table.Restart(5)
	assert.False(t, table.Coverage().Covers(timedKey(start.Add(time.Hour))))
	fold(table, 5, claim("x", 2))
	assert.True(t, table.Coverage().Covers(timedKey(start.Add(time.Hour))))
	assert.False(t, table.Coverage().Covers(timedKey(start)))
}

func TestKeyAheadOfTheLogDoesNotCount(t *testing.T) {
	k := timedKey(start.Add(KeySkew + time.Second))
	table := NewTable()
	fold(table, 1, claim(k, 1))
	assert.Equal(t, Free, table.Lookup(NewID("s", k)).State)
	assert.Equal(t, uint64(1), table.Skipped())
}

// keptLog is a log with a reader of all, one that lags, and records on their way.
type keptLog struct {
	all, live *Table
	records   []tlwire.LogRecord
	pending   [][]byte
	oldest    uint64
}

func (k *keptLog) add(data []byte) {
	n := len(k.records)
	l := tlwire.LogRecord{Offset: uint64(n + 1), Time: start.Add(time.Duration(n) * time.Second), Data: data}
	k.records = append(k.records, l)
	k.all.Apply(l)
}

// late returns the table of a reader that begins now.
func (k *keptLog) late() *Table {
	v := NewTable()
	if k.oldest > 1 {
		v.Restart(k.oldest)
	}
	k.read(v)
	return v
}

func (k *keptLog) read(v *Table) {
	if v.Next() < k.oldest {
		v.Restart(k.oldest)
	}
	for _, l := range k.records[v.Next()-1:] {
		v.Apply(l)
	}
	v.Drop(k.oldest)
}

// check fails when a reader that covers a claimed key would claim it again.
func (k *keptLog) check(r *rapid.T) {
	for _, key := range plainKeys {
		id := NewID("s", key)
		for _, v := range []*Table{k.late(), k.live} {
			if v.Coverage().Covers(key) && v.Next() == k.all.Next() && k.all.Lookup(id).State.isClaimed() {
				d := v.Decide(id, 1_000_000, NewDigest([]byte("body")))
				require.NotContains(r, []Decision{Append, Send}, d)
			}
		}
	}
}

var plainKeys = []string{"pay-1", "pay-2", "pay-3"}

// A late reader that covers a key without a time never lets it be claimed again.
func TestKeptKeysAreNeverForgotten(t *testing.T) {
	key := rapid.SampledFrom(plainKeys)
	rapid.Check(t, func(r *rapid.T) {
		k := &keptLog{all: NewTable(), live: NewTable(), oldest: 1}
		r.Repeat(map[string]func(*rapid.T){
			"claim": func(r *rapid.T) { k.add(claim(key.Draw(r, "key"), uint64(len(k.records)+1))) },
			"release": func(r *rapid.T) {
				name := key.Draw(r, "key")
				n := k.all.Lookup(NewID("s", name)).Nonce
				k.add(record(tlwire.Release{Service: "s", Key: name, Nonce: n}))
			},
			"keep": func(r *rapid.T) {
				v := rapid.SampledFrom([]*Table{k.live, k.late()}).Draw(r, "author")
				if kept, ok := v.KeySnapshot(10); ok {
					k.pending = append(k.pending, record(kept))
				}
			},
			"land": func(*rapid.T) {
				if len(k.pending) > 0 {
					k.add(k.pending[0])
					k.pending = k.pending[1:]
				}
			},
			"drop": func(r *rapid.T) {
				k.oldest = uint64(rapid.IntRange(int(k.oldest), len(k.records)+1).Draw(r, "oldest"))
				k.live.Drop(k.oldest)
			},
			"read": func(*rapid.T) { k.read(k.live) },
			"":     k.check,
		})
	})
}

// A key that a reader covers was never claimed before the reader's first record.
func TestCoveredKeysAreNeverForgotten(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(r, "records")
		all := NewTable()
		log := make([]tlwire.LogRecord, n)
		now := start
		keys := map[string]bool{}
		for i := range log {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(r, "seconds")) * time.Second)
			skew := time.Duration(rapid.IntRange(-400, 400).Draw(r, "skew")) * time.Second
			k := timedKey(now.Add(skew))
			keys[k] = true
			log[i] = tlwire.LogRecord{Offset: uint64(i + 1), Time: now, Data: claim(k, uint64(i+1))}
			all.Apply(log[i])
		}
		oldest := uint64(rapid.IntRange(1, n).Draw(r, "oldest"))
		late := NewTable()
		if oldest > 1 {
			late.Restart(oldest)
		}
		for _, l := range log[oldest-1:] {
			late.Apply(l)
		}
		for k := range keys {
			id := NewID("s", k)
			if late.Coverage().Covers(k) {
				require.Equal(r, all.Lookup(id), late.Lookup(id))
			}
		}
	})
}

func BenchmarkFold(b *testing.B) {
	log := make([]tlwire.LogRecord, 100_000)
	for i := range log {
		log[i] = tlwire.LogRecord{Offset: uint64(i + 1), Time: start, Data: claim(uuid.NewString(), uint64(i))}
	}
	b.ReportAllocs()
	for b.Loop() {
		t := NewTable()
		for _, r := range log {
			t.Apply(r)
		}
	}
}

// A reader that began behind the log's beginning missed the release of a claim
// that landed late, took that claim for the holder, and then let its repeated
// release free a key that had run (history seed 12, attempts 2 and 3).
func TestAReleaseThatWasMissedFreesNoKeyThatRan(t *testing.T) {
	records := [][]byte{release(2), claim("k", 2), claim("k", 3), outcome(3)}
	whole := NewTable()
	fold(whole, 1, records...)
	id := NewID("s", "k")
	require.Equal(t, Answered, whole.Lookup(id).State)
	kept, ok := whole.KeySnapshot(10)
	require.True(t, ok)
	rest := [][]byte{record(kept), release(2)}
	fold(whole, 5, rest...)
	late := NewTable()
	late.Restart(2)
	fold(late, 2, append(records[1:], rest...)...)
	for _, table := range []*Table{whole, late} {
		require.True(t, table.Coverage().Covers("k"))
		assert.NotEqual(t, Append, table.Decide(id, 9, NewDigest([]byte("body"))))
	}
}
