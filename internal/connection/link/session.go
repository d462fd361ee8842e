package link

import (
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// sessions keeps requests of peers that must not run twice beyond the end of their link, until their deadline: a link can be
// lost while both nodes live, and the peer asks for the response again on its next link. It also keeps their responses, since
// one that was written to a lost link has not arrived.
//
// All methods are safe for concurrent use.
type sessions struct {
	mu        sync.Mutex
	byProcess map[peerProcess]*session
	keptBytes int // of the bodies of kept responses
}

// peerProcess is one process of a peer.
type peerProcess struct {
	address     string
	incarnation uint64
}

// session is what is known of one process of a peer.
type session struct {
	newestLink  *inbound          // nil once it has ended
	generation  uint64            // of the newest link
	lastStreams map[uint64]uint64 // highest stream that was taken, by generation of the links that ended
	kept        map[streamKey]*stream
}

// streamKey names a request as its sender does.
type streamKey struct {
	generation, stream uint64
}

const (
	// maxKeptBytes bounds the bodies of responses that are kept for peers that may have lost them. A response that does not fit
	// is in doubt if its link is lost.
	maxKeptBytes = 4 << 20
	// maxDetachedBody bounds the body of a response that ends while no link takes it, in bytes.
	maxDetachedBody = 256 << 10
	// maxEndedLinks bounds the links of a process that are remembered. A peer asks for responses on its next link.
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

// begin makes a link the newest of its process and returns the one before it, which has to end first: what it still delivers
// would come after the peer was told that it never arrived. It reports false for a link that is not the newest.
func (ss *sessions) begin(in *inbound) (before *inbound, ok bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for p, s := range ss.byProcess {
		if p.address == in.peer.Address && p.incarnation < in.peer.Incarnation && len(s.kept) == 0 {
			delete(ss.byProcess, p) // nobody will ask
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

// end takes over what a link leaves behind.
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

// keep remembers a request whose response was written, in case it has not arrived.
func (ss *sessions) keep(in *inbound, st *stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.keepLocked(ss.getOrCreate(peerProcess{in.peer.Address, in.peer.Incarnation}), st)
}

func (ss *sessions) keepLocked(s *session, st *stream) {
	if _, ok := s.kept[st.key]; ok || time.Until(st.req.Deadline) <= 0 {
		return
	}
	if n := st.countBody(); n > 0 {
		if ss.keptBytes+n > maxKeptBytes {
			return
		}
		ss.keptBytes += n
	}
	s.kept[st.key] = st
	time.AfterFunc(time.Until(st.req.Deadline), func() { ss.remove(s, st) })
}

// remove forgets a request at its deadline.
func (ss *sessions) remove(s *session, st *stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(s.kept, st.key)
	ss.keptBytes -= st.countedBytes()
}

// find returns a request by its peer's name for it. If there is none, it reports whether it can never have arrived.
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

// active returns the requests that run without a link.
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

// stream is a request of the peer that was not answered yet, or whose response may not have arrived.
type stream struct {
	key     streamKey
	cancel  func()
	req     *message.Request
	body    *wire.Assembly // of the request, until it is whole
	started bool           // the handler has the request; under the mutex of the first link

	mu        sync.Mutex
	link      *inbound // that takes the response; nil: the link was lost
	id        uint64   // stream on that link
	response  *message.Response
	bodyBytes int // of the response's body that the sessions count
}

// bind makes a link take the response. A response that is there already is returned.
func (st *stream) bind(in *inbound, id uint64) *message.Response {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.link, st.id = in, id
	return st.response
}

func (st *stream) unbind() { st.bind(nil, 0) }

// finish takes the response and hands it to the link that takes it.
func (st *stream) finish(r *message.Response) {
	st.req.Body, st.req.Header = nil, nil // what is kept needs the response only
	st.mu.Lock()
	link, id := st.link, st.id
	if link == nil && len(r.Body) > maxDetachedBody {
		r = message.UnknownOutcome(message.ReasonTooLarge, message.Errorf(message.StepRun, "", "no link took a response of %d bytes", len(r.Body)))
	}
	st.response = r
	st.mu.Unlock()
	if link != nil {
		link.respond(id, st.req.ID, r)
	}
}

// detached reports whether the request runs and no link takes its response.
func (st *stream) detached() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.link == nil && st.response == nil
}

// countBody counts the body of the response, once, and returns its bytes.
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
