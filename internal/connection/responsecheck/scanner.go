package responsecheck

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// scanner checks the syntax of a stream of responses and finds where each of them ends. It reads the length of a body as net/http does,
// and fails where that would depend on the reader. It keeps no more than a line.
type scanner struct {
	state state
	line  []byte // start of a line that has not arrived completely

	// Of the response whose head was read last.
	status  int
	minor   int   // version of HTTP/1
	length  int64 // Content-Length; -1: none
	chunked bool

	left uint64 // bytes of the body or chunk that have not arrived
}

// state is what the scanner expects next.
type state int

const (
	statusLine state = iota
	firstField
	field
	fixedBody
	chunkSize
	chunkData
	chunkEnd
	firstTrailer
	trailer
	bodyUntilEnd // of the stream
	upgraded     // the stream continues in another protocol
)

// maxChunkLine is the longest line with the size of a chunk, in bytes. That of net/http is the same.
const maxChunkLine = 4096

// request is what the length of a response depends on besides its head.
type request struct {
	head    bool // the method is HEAD
	upgrade bool // another protocol was asked for
}

// scan reads b up to the end of the current response and returns how many bytes of it are valid. A line that is not valid is left out, or
// at least its end, so that a parser does not take it for complete.
func (s *scanner) scan(b []byte, r request) (valid int, complete bool, err error) {
	for valid < len(b) {
		rest := b[valid:]
		switch s.state {
		case bodyUntilEnd, upgraded:
			return len(b), false, nil
		case fixedBody, chunkData:
			n := min(uint64(len(rest)), s.left)
			valid += int(n)
			if s.left -= n; s.left > 0 {
				return valid, false, nil
			}
			if s.state == fixedBody {
				s.state = statusLine
				return valid, true, nil
			}
			s.state = chunkEnd
			continue
		}
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			s.line = append(s.line, rest...)
			if err := s.checkLineStart(); err != nil {
				return valid, false, err
			}
			return len(b), false, nil
		}
		line := rest[:end]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		complete, err := s.endLine(line, r)
		if s.line = nil; err != nil {
			return valid, false, err
		}
		if valid += end; complete {
			s.state = statusLine
			return valid, true, nil
		}
	}
	return valid, false, nil
}

// checkLineStart returns an error if the part of a line that has arrived shows already that the line is not valid.
func (s *scanner) checkLineStart() error {
	switch {
	case s.state == statusLine && !StartsResponse(s.line):
		return ErrNoResponse
	case (s.state == chunkSize || s.state == chunkEnd) && len(s.line) > maxChunkLine:
		return errChunk
	}
	return nil
}

// endLine reads a line with its end and reports whether it completes a response.
func (s *scanner) endLine(line []byte, r request) (complete bool, err error) {
	switch s.state {
	case chunkSize:
		return false, s.readChunkSize(line)
	case chunkEnd:
		if s.state = chunkSize; string(line) != "\r\n" {
			return false, errChunk
		}
		return false, nil
	}
	content, crlf := bytes.CutSuffix(line[:len(line)-1], []byte{'\r'})
	text := string(content)
	switch {
	case !crlf && s.inTrailer(): // net/http looks for an empty line with CRLF, and can read beyond the response
		return false, fmt.Errorf("%w: invalid end of line in a trailer", ErrMalformed)
	case s.state == statusLine:
		s.state = firstField
		return false, s.readStatusLine(text)
	case text != "":
		return false, s.readField(text)
	case s.inTrailer():
		return true, nil
	default:
		return s.endHead(r)
	}
}

// readStatusLine reads the first line of a response. As net/http does, it accepts several blanks before the status and none behind it.
func (s *scanner) readStatusLine(text string) error {
	version, rest, _ := strings.Cut(text, " ")
	if !strings.HasPrefix(version, responseStart) {
		return ErrNoResponse
	}
	minor, ok := strings.CutPrefix(version, "HTTP/1.")
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return fmt.Errorf("%w: invalid version", ErrMalformed)
	}
	status, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(status) != 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || !httpguts.ValidHeaderFieldValue(reason) {
		return fmt.Errorf("%w: invalid status line", ErrMalformed)
	}
	s.minor, s.length, s.chunked = int(minor[0]-'0'), -1, false
	s.status, _ = strconv.Atoi(status) // has three digits
	return checkStatus(s.status, minStatus)
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func (s *scanner) inTrailer() bool { return s.state == firstTrailer || s.state == trailer }

// readField reads a line of a head or trailer.
func (s *scanner) readField(text string) error {
	first, inTrailer := s.state == firstField || s.state == firstTrailer, s.inTrailer()
	if s.state = field; inTrailer {
		s.state = trailer
	}
	if text[0] == ' ' || text[0] == '\t' {
		// net/http replaces the fold with a blank (RFC 9112, section 5.2).
		if first || !httpguts.ValidHeaderFieldValue(text) {
			return fmt.Errorf("%w: invalid folded line", ErrMalformed)
		}
		return nil
	}
	name, value, found := strings.Cut(text, ":")
	if !found {
		return fmt.Errorf("%w: line without colon", ErrMalformed)
	}
	if err := checkField(name, value); err != nil || inTrailer {
		return err
	}
	value = strings.Trim(value, " \t")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 63)
		if err != nil || s.length >= 0 && s.length != int64(n) {
			return fmt.Errorf("%w: invalid Content-Length", ErrMalformed)
		}
		s.length = int64(n)
	case strings.EqualFold(name, "Transfer-Encoding"):
		if s.chunked || s.minor == 0 || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: unsupported Transfer-Encoding", ErrMalformed)
		}
		s.chunked = true
	}
	return nil
}

// endHead decides how the response continues (RFC 9112, section 6.3). It reports whether it is complete.
func (s *scanner) endHead(r request) (complete bool, err error) {
	switch {
	case s.status == http.StatusSwitchingProtocols:
		if s.state = upgraded; !r.upgrade {
			return false, fmt.Errorf("%w: switches to a protocol that was not asked for", ErrMalformed)
		}
	case s.status < http.StatusOK:
		s.state = statusLine
	case r.head, s.status == http.StatusNoContent, s.status == http.StatusNotModified:
		return true, nil
	case s.chunked:
		s.state = chunkSize
	case s.length == 0:
		return true, nil
	case s.length > 0:
		s.state, s.left = fixedBody, uint64(s.length)
	default:
		s.state = bodyUntilEnd
	}
	return false, nil
}

var errChunk = fmt.Errorf("%w: invalid chunk", ErrMalformed)

func (s *scanner) readChunkSize(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	size, _, _ := bytes.Cut(text, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if !ok || err != nil || bytes.IndexByte(text, '\r') >= 0 {
		return errChunk
	}
	if s.left, s.state = n, chunkData; n == 0 {
		s.state = firstTrailer
	}
	return nil
}
