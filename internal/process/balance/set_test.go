package balance

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Guards against an outdated list of targets that stays after two changes at the same time: the list that was read first must not
// be the last to take effect.
func TestConcurrentRefreshesKeepTheLaterList(t *testing.T) {
	s := NewSet("a", policy.New().Balance)
	reading, goOn := make(chan struct{}), make(chan struct{})
	var refreshes sync.WaitGroup
	refreshes.Go(func() {
		s.Refresh(func() map[string][]Target {
			close(reading)
			<-goOn
			return nil // the target was not ready yet
		})
	})
	<-reading
	refreshes.Go(func() {
		s.Refresh(func() map[string][]Target { return map[string][]Target{"menu": {{Address: "b", Slots: 10}}} })
	})
	time.Sleep(10 * time.Millisecond) // the second call is under way, or waits for the first
	close(goOn)
	refreshes.Wait()
	require.NotNil(t, s.Picker("menu"))
	_, _, ok := s.Picker("menu").Pick(Request{})
	require.True(t, ok, "the target that is ready by now is not used")
}
