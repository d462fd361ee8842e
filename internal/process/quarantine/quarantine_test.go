package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

var start = time.Unix(1000, 0)

func fingerprint(path string) Fingerprint {
	return FingerprintOf(&message.Request{Method: "GET", Host: "h", Path: path})
}

// endAll records an end of a target for each of the numbers.
func endAll(t *Table, now time.Time, fp Fingerprint, numbers ...int64) {
	for _, n := range numbers {
		t.Ended(EndOf("i", n), []Fingerprint{fp}, now)
	}
}

// Guards against a request that crashes target after target, and against more than three of its runs after the third end.
func TestRequestIsHeldAfterThreeEnds(t *testing.T) {
	table, fp := New(), fingerprint("/a")
	endAll(table, start, fp, 1, 2)
	require.Equal(t, Free, table.Check(fp, 4, start))
	endAll(table, start, fp, 3)
	require.Equal(t, Held, table.Check(fp, 4, start))

	now, runs := start, 0
	for n := int64(4); now.Sub(start) < 12*time.Hour; now = now.Add(time.Second) {
		if _, ok := table.BeginTrial(fp, now); ok {
			runs++
			endAll(table, now, fp, n)
			n++
		}
	}
	require.Equal(t, len(holdTimes), runs)
	require.Equal(t, 3, runs, "the operators' limit")
}

// Guards against a request that was in progress at ends of targets by chance and is refused for long.
func TestInnocentRequestIsReleasedByAnAnswer(t *testing.T) {
	table, fp := New(), fingerprint("/a")
	endAll(table, start, fp, 1, 2, 3)
	now := start.Add(holdTimes[0])
	require.Equal(t, Trial, table.Check(fp, 4, now))
	requireTrial(t, true, table, fp, now)
	requireTrial(t, false, table, fp, now) // one at a time
	cleared, ends := table.Answered(fp, now)
	require.Equal(t, 3, ends)
	require.Equal(t, Free, table.Check(fp, 4, now))

	other := New()
	other.Merge([]Record{{Fingerprint: fp, Ends: []End{1, 2, 3}}}, now)
	other.Merge([]Record{cleared}, now)
	require.Equal(t, Free, other.Check(fp, 4, now), "the answer reaches another node")
	other.Merge([]Record{{Fingerprint: fp, Ends: []End{1, 2, 3}}}, now)
	require.Equal(t, Free, other.Check(fp, 4, now), "a late record of before the answer")
	endAll(table, now, fp, 4, 5)
	require.Equal(t, Free, table.Check(fp, 4, now), "ends of before the answer count no more")
}

// Guards against a trial that ends the last target of a service before the others are back.
func TestLastTargetIsSpared(t *testing.T) {
	table, fp := New(), fingerprint("/a")
	endAll(table, start, fp, 1, 2, 3)
	now := start.Add(holdTimes[0])
	require.Equal(t, Held, table.Check(fp, 1, now))
	require.Equal(t, Trial, table.Check(fp, 2, now))
	require.Equal(t, Trial, table.Check(fp, 1, start.Add(lastTargetHold)))
}

// Guards against a trial without a result that keeps an innocent request from ever being tried again.
func TestTrialWithoutResultIsRepeated(t *testing.T) {
	table, fp := New(), fingerprint("/a")
	endAll(table, start, fp, 1, 2, 3)
	now := start.Add(holdTimes[0])
	requireTrial(t, true, table, fp, now)
	requireTrial(t, true, table, fp, now.Add(holdTimes[1]))
}

func requireTrial(t *testing.T, want bool, table *Table, fp Fingerprint, now time.Time) {
	t.Helper()
	_, ok := table.BeginTrial(fp, now)
	require.Equal(t, want, ok)
}

// Guards against more trials than operators accept because the nodes at which they ran were lost before they could tell the result, or
// because a second node begins one meanwhile.
func TestTrialsCountWithoutTheirResults(t *testing.T) {
	table, other, fp := New(), New(), fingerprint("/a")
	endAll(table, start, fp, 1, 2, 3)
	trials := 0
	for now := start; now.Sub(start) < time.Hour; now = now.Add(time.Second) {
		other.Merge(table.Records(10, nil, now), now)
		table.Merge(other.Records(10, nil, now), now)
		for _, node := range []*Table{table, other} {
			if begun, ok := node.BeginTrial(fp, now); ok {
				trials++
				table.Merge([]Record{begun}, now)
				other.Merge([]Record{begun}, now)
			}
		}
	}
	require.Equal(t, len(holdTimes), trials)
	require.Equal(t, table.Sum(), other.Sum())
}

// Guards against requests that are held although targets answer them all the time, because the ends become known late or at a node whose
// own target has answered none.
func TestRequestThatTargetsAnswerIsNoSuspect(t *testing.T) {
	table, other, fp := New(), New(), fingerprint("/a")
	table.Answered(fp, start)
	endAll(table, start.Add(answerWindow-time.Millisecond), fp, 1, 2, 3)
	require.Equal(t, Free, table.Check(fp, 4, start.Add(answerWindow)))

	endAll(other, start.Add(time.Second), fp, 1, 2, 3)
	_, cleared := table.Merge(other.Records(10, nil, start.Add(time.Second)), start.Add(time.Second))
	require.Len(t, cleared, 1)
	other.Merge(cleared, start.Add(time.Second))
	require.Equal(t, Free, other.Check(fp, 4, start.Add(time.Second)))

	later := start.Add(3 * answerWindow)
	endAll(table, later, fp, 4, 5, 6)
	require.Equal(t, Held, table.Check(fp, 4, later), "it may crash targets since")
	for i := range 3 * maxAnswers {
		table.Answered(fingerprint(fmt.Sprint(i)), later)
	}
	require.LessOrEqual(t, len(table.answered.current)+len(table.answered.previous), 2*maxAnswers)
}

// Guards against requests that are told apart although they are the same, and the reverse.
func TestFingerprintIsThatOfTheContent(t *testing.T) {
	base := message.Request{Method: "POST", Host: "h", Path: "/a", Body: []byte("b"), Attempt: "1", Header: map[string][]string{"X": {"1"}}}
	again := base
	again.Attempt, again.Caller, again.Header = "2", "other", map[string][]string{"X": {"2"}}
	require.Equal(t, FingerprintOf(&base), FingerprintOf(&again))
	for _, change := range []func(*message.Request){
		func(r *message.Request) { r.Method = "PUT" },
		func(r *message.Request) { r.Host, r.Path = "h/", "a" },
		func(r *message.Request) { r.Path, r.Body = "/ab", nil },
		func(r *message.Request) { r.Body = []byte("c") },
		func(r *message.Request) { r.Header = map[string][]string{"Authorization": {"Bearer k"}} },
	} {
		other := base
		change(&other)
		require.NotEqual(t, FingerprintOf(&base), FingerprintOf(&other))
	}
}

// Guards against nodes that disagree about suspects for good because their records arrived in different orders, or twice.
func TestMergeDoesNotDependOnTheOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	a := New()
	var news []Record
	now := start
	for n := range 200 {
		fp := fingerprint(fmt.Sprint(r.IntN(10)))
		switch now = now.Add(time.Second); r.IntN(8) {
		case 0:
			if cleared, ends := a.Answered(fp, now); ends > 0 {
				news = append(news, cleared)
			}
		case 1:
			if begun, ok := a.BeginTrial(fp, now); ok {
				news = append(news, begun)
			}
		default:
			news = append(news, a.Ended(EndOf("i", int64(n)), []Fingerprint{fp}, now)...)
		}
	}
	for range 20 {
		b := New()
		r.Shuffle(len(news), func(i, j int) { news[i], news[j] = news[j], news[i] })
		b.Merge(news, now)
		b.Merge(news[:50], now)
		require.Equal(t, a.Sum(), b.Sum())
	}
	require.NotZero(t, a.Sum())
}

// Guards against memory that grows with the suspects, and against a full table that forgets the one that crashes targets.
func TestFullTableKeepsTheLikelySuspects(t *testing.T) {
	table, deadly := New(), fingerprint("/deadly")
	for n := range int64(3) {
		inProgress := []Fingerprint{deadly}
		for i := range maxRecords {
			inProgress = append(inProgress, fingerprint(fmt.Sprint(n, i)))
		}
		table.Ended(EndOf("i", n), []Fingerprint{deadly}, start.Add(time.Duration(n)*time.Second))
		table.Ended(EndOf("i", n), inProgress[1:maxRecords/2], start.Add(time.Duration(n)*time.Second))
	}
	require.Equal(t, Held, table.Check(deadly, 4, start.Add(2*time.Second)))
	for i := range maxRecords / 8 {
		endAll(table, start.Add(3*time.Second), fingerprint(fmt.Sprint("other", i)), int64(i))
	}
	require.Len(t, table.records, maxRecords)
	require.Equal(t, Held, table.Check(deadly, 4, start.Add(3*time.Second)))
	table.Expire(start.Add(retention + time.Minute))
	require.Len(t, table.records, 1)
	table.Expire(start.Add(heldRetention + time.Minute))
	require.True(t, table.Empty())
	require.Zero(t, table.Sum())
}
