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
	mu    sync.Mutex
	by    map[process]*session
	bytes int // of the bodies of kept responses
}

// process is one process of a peer.
type process struct {
	address     string
	incarnation uint64
}

// session is what is known of one process of a peer.
type session struct {
	newest     *inbound          // nil once it has ended
	generation uint64            // of the newest link
	ended      map[uint64]uint64 // highest stream that was taken, by generation of the links that ended
	kept       map[streamKey]*stream
}

// streamKey names a request as its sender does.
type streamKey struct {
	generation, stream uint64
}

const (
	// maxKeptBytes bounds the bodies of responses that are kept for peers that may have lost them. A response that does not fit
	// is in doubt if its link is lost.
	maxKeptBytes = 4 << 20
	// maxLostBody bounds the body of a response that ends while no link takes it, in bytes.
	maxLostBody = 256 << 10
	// maxEnded bounds the links of a process that are remembered. A peer asks for responses on its next link.
	maxEnded = 16
)

func newSessions() *sessions { return &sessions{by: map[process]*session{}} }

func (ss *sessions) get(p process) *session {
	s := ss.by[p]
	if s == nil {
		s = &session{ended: map[uint64]uint64{}, kept: map[streamKey]*stream{}}
		ss.by[p] = s
	}
	return s
}

// begin makes a link the newest of its process and returns the one before it, which has to end first: what it still delivers
// would come after the peer was told that it never arrived. It reports false for a link that is not the newest.
func (ss *sessions) begin(in *inbound) (before *inbound, ok bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for p, s := range ss.by {
		if p.address == in.peer.Address && p.incarnation < in.peer.Incarnation && len(s.kept) == 0 {
			delete(ss.by, p) // nobody will ask
		}
	}
	s := ss.get(process{in.peer.Address, in.peer.Incarnation})
	if s.generation >= in.generation {
		return nil, false
	}
	before = s.newest
	s.newest, s.generation = in, in.generation
	return before, true
}

// end takes over what a link leaves behind.
func (ss *sessions) end(in *inbound, last uint64, left []*stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s := ss.get(process{in.peer.Address, in.peer.Incarnation})
	s.ended[in.generation] = last
	if s.newest == in {
		s.newest = nil
	}
	if len(s.ended) > maxEnded {
		for g := range s.ended {
			if g+maxEnded < in.generation {
				delete(s.ended, g)
			}
		}
	}
	for _, st := range left {
		st.unbind()
		ss.keepLocked(s, st)
	}
}

// keep remembers a request whose response was written, in case it has not arrived.
func (ss *sessions) keep(in *inbound, st *stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.keepLocked(ss.get(process{in.peer.Address, in.peer.Incarnation}), st)
}

func (ss *sessions) keepLocked(s *session, st *stream) {
	if _, ok := s.kept[st.key]; ok || time.Until(st.req.Deadline) <= 0 {
		return
	}
	if n := st.size(); n > 0 {
		if ss.bytes+n > maxKeptBytes {
			return
		}
		ss.bytes += n
	}
	s.kept[st.key] = st
	time.AfterFunc(time.Until(st.req.Deadline), func() { ss.drop(s, st) })
}

// drop forgets a request at its deadline.
func (ss *sessions) drop(s *session, st *stream) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(s.kept, st.key)
	ss.bytes -= st.counted()
}

// find returns a request by its peer's name for it. If there is none, it reports whether it can never have arrived.
func (ss *sessions) find(in *inbound, key streamKey) (st *stream, never bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	s := ss.get(process{in.peer.Address, in.peer.Incarnation})
	if st, ok := s.kept[key]; ok {
		return st, false
	}
	last, ok := s.ended[key.generation]
	return nil, ok && key.stream > last
}

// active returns the requests that run without a link.
func (ss *sessions) active() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	n := 0
	for _, s := range ss.by {
		for _, st := range s.kept {
			if st.lost() {
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

	mu       sync.Mutex
	link     *inbound // that takes the response; nil: the link was lost
	id       uint64   // stream on that link
	response *message.Response
	bytes    int // of the response's body that the sessions count
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
	if link == nil && len(r.Body) > maxLostBody {
		r = message.UnknownOutcome(message.ReasonTooLarge, message.Errorf(message.StepRun, "", "no link took a response of %d bytes", len(r.Body)))
	}
	st.response = r
	st.mu.Unlock()
	if link != nil {
		link.respond(id, st.req.ID, r)
	}
}

// lost reports whether the request runs and no link takes its response.
func (st *stream) lost() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.link == nil && st.response == nil
}

// size counts the body of the response, once, and returns its bytes.
func (st *stream) size() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.response == nil {
		return 0
	}
	st.bytes = len(st.response.Body)
	return st.bytes
}

func (st *stream) counted() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.bytes
}
