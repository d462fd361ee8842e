package platform_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against calls and connections that outlive their client, above all after hangs and lost answers.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
