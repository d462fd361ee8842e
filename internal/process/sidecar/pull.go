package sidecar

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// pullDelay is the time for which a node that learns of a newer configuration waits to receive it through its feed or
	// from a follower before it requests it. Requesting at once would send every configuration over the links once more.
	// The delay has to leave time for the request: operators require that a configuration reaches all nodes within two
	// seconds.
	pullDelay = 600 * time.Millisecond
	// pullRetryInterval is the time after which an unanswered request for a configuration is sent again.
	pullRetryInterval = 700 * time.Millisecond
	// maxConfig bounds a decompressed configuration, in bytes.
	maxConfig = 64 << 20
)

// maxPulls is the number of requests for a configuration that may stay unanswered before the puller forgets that it exists. The
// nodes that had it may be gone, and another one is worth asking for.
const maxPulls = 3

// puller decides when to request a configuration from another node. It is not safe for concurrent use.
type puller struct {
	newest routing.Stamp // of the configurations known to exist
	from   string        // node that announced it last
	heard  time.Time
	asked  time.Time
	pulls  int // requests for it
}

// observe records the stamp of the configuration that another node has active.
func (p *puller) observe(now time.Time, own, theirs routing.Stamp, from string) {
	if !theirs.NewerThan(own) || p.newest.NewerThan(theirs) {
		return
	}
	if theirs.NewerThan(p.newest) {
		p.newest, p.heard, p.pulls = theirs, now, 0
	}
	p.from = from
}

// due reports whether to request the configuration now, and if so records the request.
func (p *puller) due(now time.Time, own routing.Stamp) bool {
	if p.wait(now, own) > time.Millisecond || !p.newest.NewerThan(own) {
		return false
	}
	if p.pulls >= maxPulls {
		p.newest, p.pulls = routing.Stamp{}, 0
		return false
	}
	p.asked = now
	p.pulls++
	return true
}

// wait returns the time until a request may be due, or zero if no newer version is known.
func (p *puller) wait(now time.Time, own routing.Stamp) time.Duration {
	if !p.newest.NewerThan(own) {
		return 0
	}
	wait := max(time.Millisecond, pullRetryInterval-now.Sub(p.asked))
	if own.Version > 0 {
		wait = max(wait, pullDelay-now.Sub(p.heard))
	}
	return wait
}

// addConfig adds the active configuration to a message, compressed, if there is one.
func (s *Sidecar) addConfig(msg *viewMessage) {
	table := s.routes.Load()
	if table == nil {
		return
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	_, _ = w.Write(table.Raw) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	msg.setStamp(table.Stamp) // the active configuration may have changed since the message was created
	msg.Config = b.Bytes()
}

func (s *Sidecar) applyPeerConfig(packed []byte, epoch uint64, from string) {
	body, err := decompress(packed)
	if err != nil {
		event.Log(s.log, event.RoutesRejected, slog.String("source", "peer "+from), slog.String("error", err.Error()))
		return
	}
	if applied, _ := s.applyConfig(body, epoch, "peer "+from); !applied { // the error is logged
		return
	}
	if m, _ := s.directory.Member(from); m.Zone != s.settings.Zone {
		s.pendingRelay.config = true // it came from another zone: this zone's followers have not sent it yet
	}
}

func decompress(packed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfig+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(body) > maxConfig {
		return nil, fmt.Errorf("decompress configuration: more than %d bytes", maxConfig)
	}
	return body, nil
}
