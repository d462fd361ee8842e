package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// suspectBound is the operators' limit on the time from the third target that a request crashes until it must be known everywhere.
const suspectBound = 3 * time.Second

// suspect records an end of a target beside a node, with one request in progress.
func suspect(s *Sidecar, fp quarantine.Fingerprint, number int64) {
	s.suspectNews.add(s.quarantine.Ended(quarantine.EndOf("i", number), []quarantine.Fingerprint{fp}, time.Now()))
}

// Guards against a request that is forwarded again by a node that was frozen, cut off or restarted while the others learned that it
// crashes targets, and against knowledge that is lost with the nodes that had it first.
func TestAllNodesKnowOfARequestThatCrashesTargets(t *testing.T) {
	runFleet(t, func(t *testing.T, f *fleet) {
		fp := quarantine.FingerprintOf(&message.Request{Path: "/menu/1"})
		f.mu.Lock()
		f.frozen["n05"] = true
		f.mu.Unlock()
		for i, address := range []string{"n07", "n20", "n33"} {
			suspect(f.nodes[address], fp, int64(i))
			time.Sleep(50 * time.Millisecond)
			f.kill(address)
		}
		time.Sleep(200 * time.Millisecond)
		for address, s := range f.nodes {
			if address != "n05" {
				require.Equal(t, quarantine.Held, s.quarantine.Check(fp, 2, time.Now()), "node %s", address)
			}
		}
		f.mu.Lock()
		delete(f.frozen, "n05")
		f.mu.Unlock()
		for _, i := range []int{7, 20, 33} {
			f.start(i)
		}
		time.Sleep(suspectBound)
		for address, s := range f.nodes {
			require.NotEqual(t, quarantine.Free, s.quarantine.Check(fp, 2, time.Now()), "node %s", address)
		}
		cleared, _ := f.nodes["n01"].quarantine.Answered(fp, time.Now())
		f.nodes["n01"].suspectNews.add([]quarantine.Record{cleared})
		time.Sleep(200 * time.Millisecond)
		for address, s := range f.nodes {
			require.Equal(t, quarantine.Free, s.quarantine.Check(fp, 2, time.Now()), "node %s", address)
		}
	})
}

// Guards against nodes that send each other the same list of suspects again and again.
func TestSuspectsAreNotSentWithoutEnd(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		for i := range 3 * maxSuspects {
			fp := quarantine.FingerprintOf(&message.Request{Path: fmt.Sprintf("/menu/%d", i)})
			node := a
			if i%2 == 0 {
				node = b
			}
			node.quarantine.Ended(quarantine.EndOf("i", int64(i)), []quarantine.Fingerprint{fp}, time.Now())
		}
		time.Sleep(10 * time.Second) // would not end if the nodes answered each message at once
	})
}

// brokenOff is a target that breaks off each request once it receives from the channel.
type brokenOff chan struct{}

func (b brokenOff) Do(context.Context, *targetconn.Exchange) (*targetconn.Response, error) {
	<-b
	return nil, &targetconn.Error{Sent: true, Err: errors.New("connection reset")}
}

// Guards against a target whose process has ended while requests were in progress, which its node takes for broken connections: the
// requests would never become suspects.
func TestEndedTargetMakesSuspects(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s, err := New(Options{Settings: Settings{PeerAddress: "n1", Service: "menu", TargetAddress: listener.Addr().String()}, Log: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	defer s.stop()
	s.tracker.Observe(report.Report{Instance: "i", Born: 1, Sequence: 1, Service: "menu", Phase: report.PhaseReady, Slots: 10}, time.Now())
	broken := make(chan struct{})
	s.path.AttachTarget("menu", "i", 1, admission.New(TargetLimits(10, 10)), &target{
		pool: brokenOff(broken), codec: stubCodec{}, onUnreachable: s.markTargetUnreachable, onBrokenOff: s.checkTargetEnded,
	})
	req := &message.Request{Method: http.MethodGet, Path: "/menu/1", Service: "menu", Instance: "i", Attempt: "1", Hop: 1, Deadline: time.Now().Add(5 * time.Second)}
	done := make(chan *message.Response)
	run := func() { go func() { done <- s.path.Deliver(t.Context(), req) }() }

	run()
	broken <- struct{}{}
	require.Equal(t, message.Unknown, (<-done).Outcome)
	require.True(t, s.quarantine.Empty(), "the target still accepts connections")

	require.NoError(t, listener.Close())
	time.Sleep(endCheckInterval)
	run()
	broken <- struct{}{}
	require.Equal(t, message.Unknown, (<-done).Outcome)
	records := s.quarantine.Records(10, nil, time.Now())
	require.Len(t, records, 1)
	require.Equal(t, quarantine.FingerprintOf(req), records[0].Fingerprint)
	require.Len(t, records[0].Ends, 1)
}

// Guards against a second node that takes a trial over while the node that all choose may just have been cut off, because its target had
// been absent before the cut.
func TestAbsenceStartsAnewWhenANodeBecomesUnreachable(t *testing.T) {
	var a absences
	at := time.Unix(1000, 0)
	see := func(seconds int, absent, down bool) time.Time {
		now := at.Add(time.Duration(seconds) * time.Second)
		n := absence{quarantine.Target{Address: "n1"}, down}
		if absent {
			n.AbsentSince = now
		}
		a.update([]absence{n}, now)
		return a.targets()[0].AbsentSince
	}
	require.Zero(t, see(0, false, false))
	require.Equal(t, at.Add(time.Second), see(1, true, false))
	require.Equal(t, at.Add(time.Second), see(9, true, false))
	require.Equal(t, at.Add(10*time.Second), see(10, true, true))
	require.Equal(t, at.Add(10*time.Second), see(20, true, true))
	require.Zero(t, see(21, false, false))
}

// Guards against an operator who cannot see why a request is refused, a release that other nodes do not learn of, and one by a program
// that only reaches the metrics interface from another VM.
func TestOperatorReleasesAHeldRequest(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.start("a", "menu"), c.start("b", "menu")
		time.Sleep(recoveryTimeout + time.Second)
		fp := quarantine.FingerprintOf(&message.Request{Path: "/menu/1"})
		for n := range int64(quarantine.MaxEnds) {
			suspect(a, fp, n)
		}
		time.Sleep(200 * time.Millisecond)
		mux := http.NewServeMux()
		b.addOperators(mux)
		call := func(method, path, from string) *httptest.ResponseRecorder {
			r := httptest.NewRequest(method, path, nil)
			r.RemoteAddr = from
			w := httptest.NewRecorder()
			mux.ServeHTTP(w, r)
			return w
		}
		const here, elsewhere = "127.0.0.1:1", "192.0.2.1:1"
		require.Contains(t, call("GET", HeldPath, elsewhere).Body.String(), fp.String())
		release := strings.Replace(ReleasePath, "{fingerprint}", fp.String(), 1)
		require.Equal(t, http.StatusForbidden, call("POST", release, elsewhere).Code)
		require.Equal(t, http.StatusBadRequest, call("POST", strings.Replace(ReleasePath, "{fingerprint}", "x", 1), here).Code)
		require.Equal(t, quarantine.Held, a.quarantine.Check(fp, 2, time.Now()))
		require.Equal(t, http.StatusOK, call("POST", release, here).Code)
		require.Equal(t, http.StatusNotFound, call("POST", release, here).Code)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, quarantine.Free, a.quarantine.Check(fp, 2, time.Now()))
	})
}
