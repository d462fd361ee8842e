package window

import "sync"

// maxWindows bounds the windows of a set. Routes come and go with the operators' configuration.
const maxWindows = 1024

// Set keeps a window for each route. Its zero value is empty. It is safe for concurrent use; a mutex is taken only for a route
// that is new.
type Set struct {
	windows sync.Map // name of the route to *Window

	mu    sync.Mutex
	count int
}

// Get returns the window of a route.
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

// evictIdle drops the windows without a run in progress. What they have learned is learned again from the next calls.
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
