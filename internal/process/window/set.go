package window

import "sync"

// maxWindows is the number of windows from which a set evicts idle ones: the windows of routes that operators have removed from
// the configuration would otherwise stay in memory.
const maxWindows = 1024

// Set holds a window for each route. Its zero value is empty. It is safe for concurrent use; a mutex is locked only for a route
// without a window.
type Set struct {
	windows sync.Map // name of the route to *Window

	mu    sync.Mutex
	count int
}

// Get returns the window of a route, and creates it if there is none.
func (s *Set) Get(route string) *Window {
	if w, ok := s.windows.Load(route); ok {
		return w.(*Window)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= maxWindows {
		s.evictIdle()
	}
	w, loaded := s.windows.LoadOrStore(route, new(Window))
	if !loaded {
		s.count++
	}
	return w.(*Window)
}

// evictIdle removes the windows without a run in progress. If a route is used again, its new window has no limit until its calls
// wait.
func (s *Set) evictIdle() {
	s.windows.Range(func(route, w any) bool {
		if w.(*Window).idle() {
			s.windows.Delete(route)
			s.count--
		}
		return true
	})
}

func (w *Window) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running == 0
}
