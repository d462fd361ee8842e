package link

import (
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// sessions keeps those requests of peers that are not idempotent until their deadline, also beyond the end of their link: a
// link can be lost while both nodes live, and the peer then asks for the response on its next link. Responses that were written
// are kept too, since they may not have arrived if the link is lost.
//
// All methods are safe for concurrent use.
type sessions struct {
	mu        sync.Mutex
	byProcess map[peerProcess]*session
	keptBytes int // total of the bodies of those kept responses that existed when keepLocked was called; see maxKeptBytes
}

// peerProcess identifies one process of a peer. A restarted peer has another incarnation.
type peerProcess struct {
	address     string
	incarnation uint64
}

// session is the state kept for one process of a peer, across its links.
type session struct {
	newestLink  *inbound          // nil after it has ended
	generation  uint64            // of the newest link
	lastStreams map[uint64]uint64 // highest accepted stream of each ended link, by generation
	kept        map[streamKey]*stream
}

// streamKey identifies a request of a peer process by the link and stream on which it was first sent.
type streamKey struct {
	generation, stream uint64
}

const (
	// maxKeptBytes bounds the memory for the bodies of responses that are kept in case they did not arrive, over all peers.
	// If the link of a response that does not fit is lost, the outcome of its request is unknown. Responses of requests that
	// end without a link are not counted; maxDetachedBody bounds each of them.
	maxKeptBytes = 4 << 20
	// maxDetachedBody bounds the body of the response to a request that ends while it has no link, in bytes.
	maxDetachedBody = 256 << 10
	// maxEndedLinks bounds the ended links that are remembered for a process. Few are needed, since a peer asks for responses on
	// its next link.
	maxEndedLinks = 16
)

func newSessions() *sessions { return &sessions{byProcess: map[peerProcess]*session{}} }

func (ss *sessions) getOrCreate(p peerProcess) *session {
	s := ss.byProcess[p]
	if s == nil {
		s = &session{lastStreams: map[uint64]uint64{}, kept: map[streamKey]*stream{}}
		ss.byProcess[p] = s
	}
	return s
}

// begin makes a link the newest of its process and returns the link before it if that one has not ended. The caller must wait
// for the end of the earlier link, which could otherwise still deliver a request after the peer was told that the request never
// arrived. begin reports false if the process has already begun a link of the same or a higher generation.
func (ss *sessions) begin(in *inbound) (before *inbound, ok bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for p, s := range ss.byProcess {
		if p.address == in.peer.Address && p.incarnation < in.peer.Incarnation && len(s.kept) == 0 {
			delete(ss.byProcess, p) // a process that is gone asks for nothing
		}
	}
	s := ss.getOrCreate(peerProcess{in.peer.Address, in.peer.Incarnation})
	if s.generation >= in.generation {
		return nil, false
	}
	before = s.newestLink
	s.newestLink, s.generation = in, in.generation
	return before, true
}

// end records the end of a link and keeps the requests that go on without it.
func (ss *sessions) end(in *inbound, lastStream uint64, detached []*stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s := ss.getOrCreate(peerProcess{in.peer.Address, in.peer.Incarnation})
	s.lastStreams[in.generation] = lastStream
	if s.newestLink == in {
		s.newestLink = nil
	}
	if len(s.lastStreams) > maxEndedLinks {
		for g := range s.lastStreams {
			if g+maxEndedLinks < in.generation {
				delete(s.lastStreams, g)
			}
		}
	}
	for _, st := range detached {
		st.unbind()
		ss.keepLocked(s, st)
	}
}

// keep keeps a request whose response was written, in case the response does not arrive.
func (ss *sessions) keep(in *inbound, st *stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.keepLocked(ss.getOrCreate(peerProcess{in.peer.Address, in.peer.Incarnation}), st)
}

func (ss *sessions) keepLocked(s *session, st *stream) {
	if _, ok := s.kept[st.key]; ok {
		return
	}
	if time.Until(st.req.Deadline) <= 0 {
		st.req.Memory.Release()
		return
	}
	if n := st.countBody(); n > 0 {
		if ss.keptBytes+n > maxKeptBytes {
			st.req.Memory.Release()
			return
		}
		ss.keptBytes += n
	}
	s.kept[st.key] = st
	time.AfterFunc(time.Until(st.req.Deadline), func() { ss.remove(s, st) })
}

// remove removes a kept request. It is called at the request's deadline.
func (ss *sessions) remove(s *session, st *stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(s.kept, st.key)
	ss.keptBytes -= st.countedBytes()
	st.req.Memory.Release()
}

// find returns the kept request with the key. If there is none, it reports whether it is certain that it never arrived.
func (ss *sessions) find(in *inbound, key streamKey) (st *stream, neverArrived bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s := ss.getOrCreate(peerProcess{in.peer.Address, in.peer.Incarnation})
	if st, ok := s.kept[key]; ok {
		return st, false
	}
	last, ok := s.lastStreams[key.generation]
	return nil, ok && key.stream > last
}

// active returns the number of requests that run without a link.
func (ss *sessions) active() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	n := 0
	for _, s := range ss.byProcess {
		for _, st := range s.kept {
			if st.detached() {
				n++
			}
		}
	}
	return n
}

// stream is a request of a peer that has no response yet or whose response may not have arrived.
type stream struct {
	key    streamKey
	cancel func()
	req    *message.Request
	body   *wire.Assembly      // of the request; nil once it is complete
	held   *memory.Reservation // for the body of the request; nil: not counted
	// stopExpiry stops the timer that drops the request if its body does not arrive; nil if there is none.
	stopExpiry func()
	started    bool // the handler was called; guarded by the mutex of the link on which the request arrived

	mu        sync.Mutex
	link      *inbound // that the response is sent on; nil if it was lost
	id        uint64   // stream on that link
	response  *message.Response
	bodyBytes int // of the response's body as counted in sessions.keptBytes
}

// bind sets the link and stream that the response is sent on. It returns the response if there is one already.
func (st *stream) bind(in *inbound, id uint64) *message.Response {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.link, st.id = in, id
	return st.response
}

func (st *stream) unbind() { st.bind(nil, 0) }

// finish stores the response and sends it on the bound link, if there is one.
func (st *stream) finish(r *message.Response) {
	st.held.Release()
	st.req.Body, st.req.Header = nil, nil // a kept request needs only its response
	st.mu.Lock()
	link, id := st.link, st.id
	if link == nil && len(r.Body) > maxDetachedBody {
		r = message.UnknownOutcome(message.ReasonTooLarge,
			message.Errorf(message.StepRun, "", "the link was lost and the response of %d bytes is too large to be kept", len(r.Body)))
	}
	st.response = r
	st.mu.Unlock()
	if link != nil {
		link.respond(id, st.req.ID, r)
	}
}

// detached reports whether the request still runs and has no link.
func (st *stream) detached() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.link == nil && st.response == nil
}

// countBody sets bodyBytes to the size of the response's body, if there is one, and returns it.
func (st *stream) countBody() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.response == nil {
		return 0
	}
	st.bodyBytes = len(st.response.Body)
	return st.bodyBytes
}

func (st *stream) countedBytes() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.bodyBytes
}
