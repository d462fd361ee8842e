package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const limit = 5 * time.Second

func stamp(v int) routing.Stamp { return routing.Stamp{Version: routing.Version(v)} }

// Guards against keys that are accepted without a confirmation, for longer than 0.9 of the limit after one, or refused within 0.6 of it.
func TestConfirmationIsGoodForAPartOfTheLimit(t *testing.T) {
	tr := New(limit)
	tr.InForce(stamp(1))
	require.False(t, tr.Accepts(stamp(1), 0), "a process starts without confirmation")
	tr.Confirm(stamp(1), 10*time.Second, 11*time.Second)
	require.True(t, tr.Accepts(stamp(1), 13*time.Second))
	require.False(t, tr.Accepts(stamp(1), 14500*time.Millisecond))
	require.False(t, tr.Accepts(stamp(1), 9*time.Second), "a clock that went back")
}

// Guards against a confirmation of a newer configuration that counts before that is in force, and against one that never counts.
func TestConfirmationOfANewerConfigurationWaitsForIt(t *testing.T) {
	tr := New(limit)
	tr.InForce(stamp(1))
	tr.Confirm(stamp(2), time.Second, time.Second)
	require.False(t, tr.Accepts(stamp(1), time.Second))
	tr.InForce(stamp(2))
	require.True(t, tr.Accepts(stamp(2), time.Second))
	require.False(t, tr.Accepts(stamp(1), time.Second), "a request that was matched before")
	tr.Confirm(stamp(1), 5*time.Second, 5*time.Second) // the store came back from a copy without version 2
	require.True(t, tr.Accepts(stamp(2), 8*time.Second))
}

// Guards against ages and moments of faulty clocks that prolong a confirmation.
func TestImpossibleConfirmationsAreIgnored(t *testing.T) {
	tr := New(limit)
	tr.InForce(stamp(1))
	tr.Confirm(stamp(1), 2*time.Second, time.Second)
	tr.Confirm(stamp(1), -1, time.Second)
	tr.ConfirmAnswered(stamp(1), -time.Second, time.Second, time.Second)
	tr.ConfirmAnswered(stamp(1), maxAge+1, 2*maxAge, 2*maxAge)
	require.EqualValues(t, 4, tr.Invalid())
	_, ok := tr.Age(time.Second)
	require.False(t, ok)
}

// Guards against nodes that ask more than once a second, ask one that does not answer again and again, read the store while others
// answer, or never read it.
func TestNodeAsksOthersAndAtLastTheStore(t *testing.T) {
	tr := New(limit)
	tr.InForce(stamp(1))
	a := NewAsker(tr, 7, 0)
	var choices []int
	var asked, reads []Moment
	for now := Moment(0); now < 6*time.Second; now += 100 * time.Millisecond {
		step := a.Next(now, 0)
		if step.Ask {
			choices, asked = append(choices, step.Nth), append(asked, now)
		}
		if step.Store {
			reads = append(reads, now)
		}
	}
	require.Equal(t, []int{0, 1, 2, 3, 4, 5}, choices)
	for i := 1; i < len(asked); i++ {
		require.GreaterOrEqual(t, asked[i]-asked[i-1], time.Second)
	}
	require.Len(t, reads, 4, "at 2 s, 3 s, 4 s and 5 s")
	require.Equal(t, 2*time.Second, reads[0])

	now, questions, readsBefore := 6*time.Second, 0, 0
	for ; now < 26*time.Second; now += 100 * time.Millisecond { // every answer states a confirmation that is 1.6 s old
		step := a.Next(now, 0)
		if step.Ask {
			questions++
			at, ok := a.Asked(step.Number)
			require.True(t, ok)
			tr.ConfirmAnswered(stamp(1), 1600*time.Millisecond, at, now)
			a.Answered(now)
		}
		if step.Store {
			readsBefore++
		}
		require.True(t, tr.Accepts(stamp(1), now+1500*time.Millisecond), "a calm deployment is far from the limit")
	}
	require.LessOrEqual(t, questions, 21)
	require.LessOrEqual(t, readsBefore, 1)
}

// message is a question, an answer or a response of the store that is on its way.
type message struct {
	from, to  int
	number    uint64
	answer    bool
	stamp     routing.Stamp
	age       time.Duration
	confirmed bool
	sent      Moment // of a call of the store
	store     bool
	process   *simNode // that called the store
}

type simNode struct {
	tracker *Tracker
	asker   *Asker
	own     int
	frozen  bool
	origin  Moment // of its clock: the VMs were started at different times
}

// sim is a store, some nodes and the messages between them. The store acknowledges version i+1 at acknowledged[i].
type sim struct {
	*rapid.T
	now          Moment
	acknowledged []Moment
	nodes        []*simNode
	onTheWay     []message
	numbers      uint64
}

func (s *sim) restart(i int) {
	n := &simNode{tracker: New(limit), origin: time.Duration(rapid.IntRange(0, 59).Draw(s.T, "origin")) * time.Second}
	if s.nodes[i] != nil { // a restarted node has its configuration from any other one, however old
		n.own = s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.T, "source")].own
	} else {
		n.own = 1
	}
	s.numbers += 1000
	n.asker = NewAsker(n.tracker, s.numbers, s.now-n.origin)
	n.tracker.InForce(stamp(n.own))
	s.nodes[i] = n
}

// act lets a node do what is due: ask another node, or call the store.
func (s *sim) act(i int) {
	n := s.nodes[i]
	if n.frozen {
		return
	}
	if step := n.asker.Next(s.now-n.origin, 0.5); step.Ask {
		to := rapid.IntRange(0, len(s.nodes)-1).Draw(s.T, "asked")
		s.onTheWay = append(s.onTheWay, message{from: i, to: to, number: step.Number})
	}
	if rapid.IntRange(0, 3).Draw(s.T, "reads") == 0 { // answered at once or later with what the store has now
		s.onTheWay = append(s.onTheWay, message{to: i, store: true, stamp: stamp(len(s.acknowledged)), sent: s.now - n.origin, process: n})
	}
}

// deliver delivers a message. Its receiver may have been restarted since it was sent.
func (s *sim) deliver(m message) {
	n := s.nodes[m.to]
	if n.frozen {
		s.onTheWay = append(s.onTheWay, m) // it waits for the process to go on
		return
	}
	switch {
	case m.store && m.process != n:
		// the process that called the store has ended
	case m.store:
		n.apply(int(m.stamp.Version))
		n.tracker.Confirm(stamp(n.own), m.sent, s.now-n.origin)
	case m.answer:
		if at, ok := n.asker.Asked(m.number); ok && m.confirmed {
			n.tracker.ConfirmAnswered(m.stamp, m.age, at, s.now-n.origin)
			n.asker.Answered(s.now - n.origin)
		}
	default:
		reply := message{from: m.to, to: m.from, number: m.number, answer: true}
		reply.stamp, reply.age, reply.confirmed = n.tracker.Answer(s.now - n.origin)
		s.onTheWay = append(s.onTheWay, reply)
	}
}

func (n *simNode) apply(version int) {
	if version > n.own {
		n.own = version
		n.tracker.InForce(stamp(version))
	}
}

// Guards against a withdrawn key that is accepted later than the limit after its withdrawal was acknowledged, at any node, through
// lost followers, cuts, frozen and restarted nodes, and late or reordered messages. The clocks of the
// nodes differ; steps of the time of day cannot matter, because the package is not given it.
func TestWithdrawnKeysAreRefusedInTime(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &sim{T: rt, now: time.Minute, acknowledged: []Moment{time.Minute}, nodes: make([]*simNode, 4)}
		for i := range s.nodes {
			s.restart(i)
		}
		steps := rapid.IntRange(50, 300).Draw(rt, "steps")
		for range steps {
			s.now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")
			switch rapid.IntRange(0, 13).Draw(rt, "event") {
			case 0:
				s.acknowledged = append(s.acknowledged, s.now)
			case 1:
				s.restart(i)
			case 2:
				s.nodes[i].frozen = !s.nodes[i].frozen
			case 3: // a configuration spreads, perhaps an old one
				s.nodes[i].apply(rapid.IntRange(1, len(s.acknowledged)).Draw(rt, "version"))
			case 4, 5, 6, 7:
				s.act(i)
			default:
				if len(s.onTheWay) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(s.onTheWay)-1).Draw(rt, "message")
				m := s.onTheWay[k]
				s.onTheWay = append(s.onTheWay[:k:k], s.onTheWay[k+1:]...)
				if rapid.IntRange(0, 9).Draw(rt, "lost") > 0 {
					s.deliver(m)
				}
			}
			for k, n := range s.nodes { // a frozen process may go on now
				if !n.tracker.Accepts(stamp(n.own), s.now-n.origin) {
					continue
				}
				accepted++
				for v := n.own; v < len(s.acknowledged); v++ {
					if late := s.now - s.acknowledged[v]; late > limit {
						rt.Fatalf("node %d accepts keys of version %d, version %d is %v old", k, n.own, v+1, late)
					}
				}
			}
		}
	})
	require.Positive(t, accepted, "the nodes never accepted a key, so that nothing was tested")
}
