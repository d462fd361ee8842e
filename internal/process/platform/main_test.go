package platform_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against calls and connections that outlive their client, in particular after hangs and lost responses.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
