package sidecar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// viewMessage is what nodes tell each other of the directory and the configuration.
type viewMessage struct {
	Digest  uint64             `cbor:"1,keyasint"`           // of the sender's directory
	Version uint64             `cbor:"2,keyasint"`           // of the sender's configuration
	Members []directory.Member `cbor:"3,keyasint,omitempty"` // entries that the receiver may lack
	Config  []byte             `cbor:"4,keyasint,omitempty"` // configuration that the receiver asked for, compressed
	Ask     bool               `cbor:"5,keyasint,omitempty"` // the sender wants the entries that it lacks
	Pull    bool               `cbor:"6,keyasint,omitempty"` // the sender wants the configuration
}

type inboundMessage struct {
	from    string
	payload []byte
}

const (
	// compareInterval is the mean time between two comparisons with a random node. A change that a node missed reaches it
	// through comparisons within about a second.
	compareInterval = time.Second
	// reachInterval is the time between tries to reach a node that is down.
	reachInterval = 500 * time.Millisecond
	// reachWidth is the number of nodes that are tried at once.
	reachWidth  = 4
	sendTimeout = time.Second
)

// broadcast tells all nodes of a change of this node's own entry.
func (s *Sidecar) broadcast(m directory.Member) {
	up, _ := s.directory.Peers()
	msg := s.message()
	msg.Members = []directory.Member{m}
	for _, address := range up {
		s.send(address, msg)
	}
}

func (s *Sidecar) message() viewMessage {
	return viewMessage{Digest: s.directory.Digest(), Version: uint64(s.version())}
}

// send sends a message in the background.
func (s *Sidecar) send(address string, msg viewMessage) {
	s.background.Go(func() { _ = s.sendNow(address, msg) }) // sendNow logs; the next comparison makes up for it
}

func (s *Sidecar) sendNow(address string, msg viewMessage) error {
	payload, err := cbor.Marshal(msg)
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
		defer cancel()
		err = s.pool.SendControl(ctx, address, wire.ChannelView, payload)
	}
	if err != nil {
		s.unreachable(address, err)
		return err
	}
	s.reachable(address)
	return nil
}

// spread compares the view with random nodes and handles what nodes send.
func (s *Sidecar) spread() {
	timer := time.NewTimer(compareInterval)
	defer timer.Stop()
	var pull <-chan time.Time // set while a newer configuration is known
	for {
		if wait := s.puller.wait(time.Now(), uint64(s.version())); wait > 0 && pull == nil {
			pull = time.After(wait)
		}
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.inbox:
			s.receive(m)
		case <-pull:
			pull = nil
			s.pullNow()
		case <-timer.C:
			if up, _ := s.directory.Peers(); len(up) > 0 {
				s.send(up[rand.IntN(len(up))], s.message())
			}
			timer.Reset(compareInterval/2 + rand.N(compareInterval))
		}
	}
}

// pullNow asks the node that named a newer configuration for it, if it is due. No other message has to come for that.
func (s *Sidecar) pullNow() {
	msg := s.message()
	if msg.Pull = s.puller.due(time.Now(), msg.Version); msg.Pull {
		s.send(s.puller.from, msg)
	}
}

// reach tries nodes that are down, so that they get requests again once they are back.
func (s *Sidecar) reach() {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.retry:
		}
		_, down := s.directory.Peers()
		rand.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
		for _, address := range down[:min(reachWidth, len(down))] {
			s.send(address, s.introduction(address))
		}
	}
}

// introduction is the message to a node that may know nothing of this one. It holds what this node remembers of the other:
// the other may have been restarted, and must not take work for a target whose drain it has acknowledged before.
func (s *Sidecar) introduction(to string) viewMessage {
	msg := s.message()
	msg.Members = []directory.Member{s.directory.Self()}
	if m, ok := s.directory.Member(to); ok && m.Incarnation != 0 {
		msg.Members = append(msg.Members, m)
	}
	msg.Ask = true
	return msg
}

// receive handles a message of another node.
func (s *Sidecar) receive(in inboundMessage) {
	var msg viewMessage
	if err := cbor.Unmarshal(in.payload, &msg); err != nil {
		event.Log(s.log, event.FrameInvalid, slog.String("peer", in.from), slog.String("error", err.Error()))
		return
	}
	if s.directory.Introduce(in.from) {
		msg.Ask = true
	}
	s.reachable(in.from)
	s.merge(msg.Members)
	if len(msg.Config) > 0 {
		s.unpackConfig(msg.Config, in.from)
	}
	s.answer(in.from, msg)
}

// answer sends what the other node lacks, and asks for what this one lacks.
func (s *Sidecar) answer(to string, msg viewMessage) {
	reply := s.message()
	if msg.Pull {
		reply.Config = s.packConfig()
	}
	differs := msg.Digest != reply.Digest
	if msg.Ask || differs && len(msg.Members) == 0 {
		reply.Members = s.directory.All()
	}
	reply.Ask = differs && !msg.Ask && len(msg.Members) == 0
	s.puller.hear(time.Now(), reply.Version, msg.Version, to)
	reply.Pull = s.puller.due(time.Now(), reply.Version)
	older := msg.Version < reply.Version && !msg.Pull // the other node may have lost its feed
	if older || reply.Pull || len(reply.Config) > 0 || len(reply.Members) > 0 {
		s.send(to, reply)
	}
}

// merge takes entries of other nodes.
func (s *Sidecar) merge(list []directory.Member) {
	if len(list) == 0 {
		return
	}
	known := list[:0:0]
	for _, m := range list {
		if m.Incarnation != 0 {
			known = append(known, m)
		}
	}
	merged := s.directory.Merge(known)
	for _, m := range merged.Changed {
		event.Log(s.log, event.MemberChanged, slog.String("peer", m.Address), slog.String("service", m.Service),
			slog.String("instance", m.Instance), slog.String("phase", m.Phase.String()),
			slog.Uint64("incarnation", m.Incarnation), slog.Uint64("revision", m.Revision))
	}
	if len(merged.Changed) > 0 {
		s.refreshTargets()
	}
	if e := merged.Echo; e != nil {
		s.tracker.Restore(e.Instance, e.Born, e.Sequence, e.Phase)
	}
	remembered := slices.ContainsFunc(list, func(m directory.Member) bool { return m.Address == s.settings.PeerAddress })
	if remembered && !s.settled.Swap(true) || merged.Echo != nil {
		s.applyTarget()
	}
}
