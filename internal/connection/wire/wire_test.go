package wire

import (
	"bytes"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

func request(body []byte, now time.Time) *message.Request {
	return &message.Request{
		ID: message.ID{1, 2}, Span: message.SpanID{3}, Service: "menu", Method: "GET", Path: "/boards/1?x=1",
		Header: http.Header{"Accept": {"text/plain"}}, Body: body, Priority: 513, Idempotent: true, Hop: 2,
		Deadline: now.Add(time.Second), Retries: 2, Key: "k", Mode: message.ModeHome, RateLimit: 43.8,
		Organisation: "acme", CredentialsHash: 7,
	}
}

// Guards against request fields that are lost in encoding or decoding, and against bodies that change when they are split.
func TestRequestSurvivesEncoding(t *testing.T) {
	now := time.Now()
	for _, size := range []int{0, 1, MaxPart, MaxPart + 1, 3*MaxPart + 5} {
		want := request(bytes.Repeat([]byte{7}, size), now)
		frames, err := EncodeRequest(9, want, now)
		require.NoError(t, err)
		f, err := Decode(frames[0])
		require.NoError(t, err)
		head := f.(*Request)
		a, err := NewAssembly(head.BodySize, head.Part, 1<<20)
		require.NoError(t, err)
		for _, b := range frames[1:] {
			f, err := Decode(b)
			require.NoError(t, err)
			require.NoError(t, a.Add(f.(*Body).Offset, f.(*Body).Part))
		}
		got := head.Message(now)
		body, complete := a.Body()
		require.True(t, complete)
		got.Body = body
		require.Equal(t, len(want.Body), len(got.Body))
		want.Body, got.Body = nil, nil
		require.Equal(t, want, got)
	}
}

// Guards against keys of organisations in the frames of a request.
func TestKeysAreNotSent(t *testing.T) {
	req := request(nil, time.Now())
	req.OrganisationKey = "secret-key"
	frames, err := EncodeRequest(9, req, time.Now())
	require.NoError(t, err)
	require.NotContains(t, string(frames[0]), "secret-key")
}

// Guards against what a node knows of its target that is lost on the way to the node that sent the request, or back.
func TestNoticeSurvivesEncoding(t *testing.T) {
	for _, want := range []*message.Notice{nil, {Leaving: true, Born: 1796399561182}, {RateLimited: true, RateLimit: 43.8}} {
		frames, err := EncodeResponse(9, message.ID{1}, &message.Response{Outcome: message.Answered, Status: 200, Notice: want})
		require.NoError(t, err)
		f, err := Decode(frames[0])
		require.NoError(t, err)
		require.Equal(t, want, f.(*Response).Message().Notice)
	}
}

// Guards against figures on chains that are lost on the way upstream, and against a response without any that takes more bytes than one of
// the previous version.
func TestNeedsSurviveEncoding(t *testing.T) {
	sizes := map[bool]int{}
	for _, want := range [][]message.Need{nil, {{Service: "sonda", Calls: 8, Passed: 0.45, Retried: 0.3}, {Service: "mando", Calls: 2, Passed: 1}}} {
		frames, err := EncodeResponse(9, message.ID{1}, &message.Response{Outcome: message.Answered, Status: 200, Needs: want})
		require.NoError(t, err)
		f, err := Decode(frames[0])
		require.NoError(t, err)
		require.Equal(t, want, f.(*Response).Message().Needs)
		sizes[want != nil] = len(frames[0])
	}
	require.Less(t, sizes[false], 50)
	require.Less(t, sizes[true]-sizes[false], 80)
}

// Guards against times that are lost on the way, that overflow, or that make the whole response unreadable because they cannot be.
func TestTimingSurvivesEncoding(t *testing.T) {
	for want, valid := range map[message.Timing]bool{
		{}: false,
		{Own: 55 * time.Millisecond, Calls: time.Second, Slowdown: 2.5, Spent: 60 * time.Millisecond}: true,
		{Own: -time.Second, Slowdown: 1}:                        false,
		{Own: math.MaxInt64, Slowdown: 1, Spent: math.MinInt64}: false,
		{Own: time.Second, Slowdown: math.Inf(1)}:               false,
	} {
		frames, err := EncodeResponse(9, message.ID{1}, &message.Response{Outcome: message.Answered, Status: 200, Timing: want})
		require.NoError(t, err)
		f, err := Decode(frames[0])
		require.NoError(t, err)
		got := f.(*Response).Message().Timing
		require.Equal(t, valid, got.Valid(), "%v", want)
		if valid || want == (message.Timing{}) {
			require.Equal(t, want, got)
		}
	}
}

// Guards against decoded or encoded frames that change when the buffer of the connection or of the encoder is reused.
func TestFramesDoNotShareBuffers(t *testing.T) {
	want := request([]byte("body"), time.Now())
	frames, err := EncodeRequest(9, want, time.Now())
	require.NoError(t, err)
	read := bytes.Clone(frames[0])
	f, err := Decode(read)
	require.NoError(t, err)
	for i := range read {
		read[i] = 0xff
	}
	_, err = Encode(&Body{Stream: 1, Part: bytes.Repeat([]byte{0xff}, 2*len(read))})
	require.NoError(t, err)
	got := f.(*Request)
	require.Equal(t, []any{"menu", "GET", "/boards/1?x=1", "k", want.Header, []byte("body")},
		[]any{got.Service, got.Method, got.Path, got.Key, got.Header, got.Part})
	again, err := Decode(frames[0])
	require.NoError(t, err)
	require.Equal(t, f, again)
}

// Guards against a truncated, duplicated or reordered body that is accepted as complete.
func TestAssemblyRejectsWrongParts(t *testing.T) {
	a, err := NewAssembly(10, []byte("12345"), 100)
	require.NoError(t, err)
	_, complete := a.Body()
	require.False(t, complete)
	require.ErrorIs(t, a.Add(0, []byte("12345")), ErrBody)
	require.ErrorIs(t, a.Add(6, []byte("7")), ErrBody)
	require.ErrorIs(t, a.Add(5, []byte("6789012")), ErrBody)
	require.NoError(t, a.Add(5, []byte("67890")))
	_, complete = a.Body()
	require.True(t, complete)
	_, err = NewAssembly(101, nil, 100)
	require.ErrorIs(t, err, ErrTooLarge)
}

// Guards against input from a peer that panics the decoder or whose frame does not survive another encoding and decoding.
func FuzzDecode(f *testing.F) {
	now := time.Now()
	frames, err := EncodeRequest(1, request([]byte("body"), now), now)
	require.NoError(f, err)
	f.Add(frames[0])
	resp, err := EncodeResponse(1, message.ID{1}, &message.Response{
		Outcome: message.Answered, Status: 200, Body: []byte("x"), Thresholds: []message.Threshold{{Service: "a", Priority: 3}},
		Err: message.Errorf(message.StepRun, "p", "d"), Needs: []message.Need{{Service: "b", Calls: 4, Passed: 0.5}},
	})
	require.NoError(f, err)
	f.Add(resp[0])
	for _, fr := range []Frame{&Hello{Version: 1}, &Cancel{1}, &Ping{2}, &Pong{3}, &GoAway{4}, &Control{1, []byte("p")}, &Body{1, 2, nil}} {
		b, err := Encode(fr)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte{})
	f.Add([]byte{2, 0xbf})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(frame)
		require.NoError(t, err)
		back, err := Decode(again)
		require.NoError(t, err)
		once, err := Encode(back)
		require.NoError(t, err)
		require.Equal(t, len(again), len(once))
		switch fr := frame.(type) {
		case *Request:
			_ = fr.Message(time.Now())
		case *Response:
			_ = fr.Message()
		}
	})
}

func BenchmarkRequestRoundTrip(b *testing.B) {
	now := time.Now()
	r := request([]byte("hello"), now)
	b.ReportAllocs()
	for b.Loop() {
		frames, err := EncodeRequest(1, r, now)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(frames[0]); err != nil {
			b.Fatal(err)
		}
	}
}
