package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// maxAnnouncement bounds the body of an announcement, in bytes.
const maxAnnouncement = 4 << 10
