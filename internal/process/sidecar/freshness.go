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
	"github.com/wigeoncleat/wigeoncleat/internal/process/freshness"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// freshnessCheckInterval is the time between two checks of whether this node needs a confirmation of its configuration.
const freshnessCheckInterval = 100 * time.Millisecond

// freshnessMessage is a question whether the configuration is the newest one, or the answer to it.
type freshnessMessage struct {
	Number uint64 `cbor:"1,keyasint"` // of the question, chosen by the node that asks
	Answer bool   `cbor:"2,keyasint,omitempty"`

	// The other fields belong to answers: the stamp of the configuration in force and the age of its confirmation.
	Version   uint64 `cbor:"3,keyasint,omitempty"`
	Epoch     uint64 `cbor:"4,keyasint,omitempty"`
	Sum       uint64 `cbor:"5,keyasint,omitempty"`
	Confirmed bool   `cbor:"6,keyasint,omitempty"` // false: the node has no confirmation itself
	Age       int64  `cbor:"7,keyasint,omitempty"` // microseconds
}

func (m *freshnessMessage) stamp() routing.Stamp {
	return routing.Stamp{Version: routing.Version(m.Version), Epoch: m.Epoch, Sum: m.Sum}
}

// confirmations holds what is known of the freshness of the configuration, if the settings require strict revocation.
type confirmations struct {
	tracker  *freshness.Tracker
	clock    func() (freshness.Moment, bool) // replaced by tests
	answers  chan freshnessAnswer
	accepted bool // keys were accepted at the last check; only accessed by keepConfirmed
}

type freshnessAnswer struct {
	message freshnessMessage
	from    string
}

func newConfirmations(limit time.Duration) *confirmations {
	return &confirmations{
		tracker: freshness.New(limit), clock: freshness.Boottime, answers: make(chan freshnessAnswer, 16),
	}
}

// keysConfirmed reports whether keys are accepted by the configuration with the stamp. Without a clock they are not.
func (s *Sidecar) keysConfirmed(stamp routing.Stamp) bool {
	now, ok := s.confirmations.clock()
	return ok && s.confirmations.tracker.Accepts(stamp, now)
}

// needsConfirmation reports whether the configuration in force has organisations whose keys may be withdrawn.
func (s *Sidecar) needsConfirmation() bool {
	t := s.routes.Load()
	return s.settings.Revocation.Strict && t != nil && t.Organisations != nil
}

// confirmationAge returns the age of the last confirmation in seconds. It reports false if there is none or none is needed.
func (s *Sidecar) confirmationAge() (float64, bool) {
	now, ok := s.confirmations.clock()
	if !ok || !s.needsConfirmation() {
		return 0, false
	}
	age, ok := s.confirmations.tracker.Age(now)
	return age.Seconds(), ok
}

// storeMoment returns the moment of a call of the store that is about to be sent, for confirmConfig.
func (s *Sidecar) storeMoment() freshness.Moment {
	if now, ok := s.confirmations.clock(); ok {
		return now
	}
	return -1 // no moment: it will be ignored
}

// confirmConfig records that the store had no newer configuration than the one in force when a call was sent. A configuration that
// could not be read may be newer.
func (s *Sidecar) confirmConfig(sent freshness.Moment) {
	if now, ok := s.confirmations.clock(); ok && sent >= 0 && !s.storedConfigRejected.Load() {
		s.confirmations.tracker.Confirm(s.stamp(), sent, now)
	}
}

// keepConfirmed asks other nodes, or at last the store, whether the configuration is still the newest one.
func (s *Sidecar) keepConfirmed() {
	c := s.confirmations
	now, ok := c.clock()
	if !ok {
		event.Log(s.log, event.KeysUnconfirmed, slog.String("error", "the clock of the time since the start of the VM cannot be read"))
		return
	}
	asker := freshness.NewAsker(c.tracker, rand.Uint64(), now) // so that no answer to an earlier process is taken for one to this
	ticker := time.NewTicker(freshnessCheckInterval)
	defer ticker.Stop()
	asked := "" // address of the node that was asked last
	for {
		select {
		case <-s.ctx.Done():
			return
		case a := <-c.answers:
			s.applyAnswer(asker, asked, a)
		case <-ticker.C:
			if !s.needsConfirmation() {
				continue
			}
			if now, ok = c.clock(); !ok {
				continue
			}
			s.logConfirmation(now)
			step := asker.Next(now, rand.Float64())
			if step.Ask {
				if asked, ok = s.confirmer(step.Nth); ok {
					s.sendFreshness(asked, freshnessMessage{Number: step.Number})
				}
			}
			if step.Store {
				s.background.Go(func() {
					_, _ = s.readConfig() // followConfig logs when the store cannot be used
				})
			}
		}
	}
}

// applyAnswer records the answer of the node that was asked last.
func (s *Sidecar) applyAnswer(asker *freshness.Asker, asked string, a freshnessAnswer) {
	at, current := asker.Asked(a.message.Number)
	now, ok := s.confirmations.clock()
	if !current || !ok || a.from != asked || !a.message.Confirmed {
		return
	}
	age := time.Duration(-1) // an impossible age is counted as such
	if a.message.Age >= 0 && a.message.Age <= int64(time.Duration(1<<62)/time.Microsecond) {
		age = time.Duration(a.message.Age) * time.Microsecond
	}
	s.confirmations.tracker.ConfirmAnswered(a.message.stamp(), age, at, now)
	asker.Answered(now)
}

// logConfirmation logs when the node begins to accept keys and when it no longer does.
func (s *Sidecar) logConfirmation(now freshness.Moment) {
	c := s.confirmations
	accepts := c.tracker.Accepts(s.stamp(), now)
	if accepts == c.accepted {
		return
	}
	c.accepted = accepts
	age, _ := c.tracker.Age(now)
	e := event.KeysUnconfirmed
	if accepts {
		e = event.KeysConfirmed
	}
	event.Log(s.log, e, slog.Uint64("version", uint64(s.version())), slog.Int64("age_ms", age.Milliseconds()))
}

// followerChoices is the number of nodes that are asked in the order of their ranks, before any others.
const followerChoices = followersPerZone

// confirmer returns the node to ask as the nth choice: first the nodes of this zone that rank first as followers of the store, then any.
func (s *Sidecar) confirmer(nth int) (string, bool) {
	ranked := append(s.directory.HigherRanked(), s.directory.LowerRanked(followerChoices)...)
	usable := slices.DeleteFunc(ranked, func(m directory.Member) bool { return m.StoreUnreachable })
	slices.SortFunc(usable, func(a, b directory.Member) int { return directory.CompareRanks(a.Address, b.Address) })
	if nth < min(followerChoices, len(usable)) {
		return usable[nth].Address, true
	}
	up, _ := s.directory.Peers()
	if len(up) == 0 {
		return "", false
	}
	return up[rand.IntN(len(up))], true
}

// sendFreshness sends a message in the background. A question that is lost is followed by another one.
func (s *Sidecar) sendFreshness(address string, msg freshnessMessage) {
	s.background.Go(func() {
		payload, err := cbor.Marshal(msg)
		if err != nil {
			panic(err) // cannot happen: the type is fixed
		}
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
		defer cancel()
		if err := s.pool.SendControl(ctx, address, wire.ChannelFreshness, payload); err != nil {
			s.markUnreachable(address, err)
		}
	})
}

// receiveFreshness answers a question of another node, or passes its answer on to keepConfirmed.
func (s *Sidecar) receiveFreshness(from string, payload []byte) {
	var msg freshnessMessage
	if err := cbor.Unmarshal(payload, &msg); err != nil {
		event.Log(s.log, event.FrameInvalid, slog.String("peer", from), slog.String("error", err.Error()))
		return
	}
	if msg.Answer {
		select {
		case s.confirmations.answers <- freshnessAnswer{msg, from}:
		default: // the node has not asked so often
		}
		return
	}
	reply := freshnessMessage{Number: msg.Number, Answer: true}
	if now, ok := s.confirmations.clock(); ok {
		if stamp, age, confirmed := s.confirmations.tracker.Answer(now); confirmed {
			reply.Version, reply.Epoch, reply.Sum = uint64(stamp.Version), stamp.Epoch, stamp.Sum
			reply.Confirmed, reply.Age = true, age.Microseconds()+1 // rounded up, to the safe side
		}
	}
	s.sendFreshness(from, reply)
}
