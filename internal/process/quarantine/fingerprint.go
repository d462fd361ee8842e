package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Fingerprint identifies requests of the same content.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request: a hash of its method, host, path, credentials and body. The other headers
// may differ between two attempts. Credentials that the entry node has removed are represented by their hash.
func FingerprintOf(req *message.Request) Fingerprint {
	h := sha256.New()
	credentials := req.Header.Get("Authorization")
	if req.CredentialsHash != 0 {
		credentials += "#" + strconv.FormatUint(req.CredentialsHash, 16)
	}
	for _, part := range []string{req.Method, req.Host, req.Path, credentials, strconv.Itoa(len(req.Body))} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:]) // writes to a hash do not fail
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(req.Body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint as hexadecimal digits.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// EndOf identifies the end of the target process with the given instance ID and start time in Unix milliseconds.
func EndOf(instance string, born int64) End {
	return End(xxhash.Sum64String(instance + "/" + strconv.FormatInt(born, 10)))
}

// hashOf returns the part of a record in the sum of its table. Records without ends have none.
func hashOf(fp Fingerprint, r *record) uint64 {
	if len(r.ends) == 0 {
		return 0
	}
	b := append([]byte(nil), fp[:]...)
	b = append(binary.LittleEndian.AppendUint64(b, r.answers), r.trials)
	if r.crashed != 0 { // nodes of the previous version do not know this field
		b = append(b, r.crashed)
	}
	for _, end := range r.ends {
		b = binary.LittleEndian.AppendUint64(b, uint64(end))
	}
	return xxhash.Sum64(b)
}
