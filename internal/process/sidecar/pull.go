package sidecar

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

const (
	// pullDelay is the time for which a node that hears of a newer configuration waits for its feed. It must leave time
	// within the operators' bound of two seconds, and asking at once would send every configuration over the links too.
	pullDelay = 600 * time.Millisecond
	// pullRetryInterval is the time after which a configuration that was asked for is asked for again.
	pullRetryInterval = 700 * time.Millisecond
	// maxConfig bounds an unpacked configuration, in bytes.
	maxConfig = 64 << 20
)

// puller decides when to ask another node for a configuration. It is used by one goroutine.
type puller struct {
	version uint64 // newest version heard of
	from    string // node that named it last
	heard   time.Time
	asked   time.Time
}

// observe takes the version that another node has in force.
func (p *puller) observe(now time.Time, own, theirs uint64, from string) {
	if theirs <= own || theirs < p.version {
		return
	}
	if theirs > p.version {
		p.version, p.heard = theirs, now
	}
	p.from = from
}

// due reports whether to ask for the configuration now, and takes it as asked.
func (p *puller) due(now time.Time, own uint64) bool {
	if p.version <= own || own > 0 && now.Sub(p.heard) < pullDelay || now.Sub(p.asked) < pullRetryInterval {
		return false
	}
	p.asked = now
	return true
}

// wait returns the time until asking may be due, or zero if nothing newer is known.
func (p *puller) wait(now time.Time, own uint64) time.Duration {
	if p.version <= own {
		return 0
	}
	return max(time.Millisecond, pullDelay-now.Sub(p.heard), pullRetryInterval-now.Sub(p.asked))
}

// compressConfig returns the configuration in force in the form in which nodes hand it to each other, or nil.
func (s *Sidecar) compressConfig() []byte {
	table := s.routes.Load()
	if table == nil {
		return nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is constant
	}
	_, _ = w.Write(table.Raw) // a buffer takes everything
	_ = w.Close()
	return b.Bytes()
}

func (s *Sidecar) applyPeerConfig(packed []byte, from string) {
	body, err := decompress(packed)
	if err != nil {
		event.Log(s.log, event.RoutesRejected, slog.String("source", "peer "+from), slog.String("error", err.Error()))
		return
	}
	if !s.applyConfig(body, "peer "+from) {
		return
	}
	if m, _ := s.directory.Member(from); m.Zone != s.settings.Zone {
		s.pendingRelay.config = true // the followers of this availability zone have not had it yet
	}
}

func decompress(packed []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxConfig+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	if len(body) > maxConfig {
		return nil, fmt.Errorf("unpack configuration: more than %d bytes", maxConfig)
	}
	return body, nil
}
