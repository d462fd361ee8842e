package quota

import "time"

const (
	// slotsPerWindow is the number of slots into which the window is divided. The slot in progress is counted in addition, so
	// usage is overstated by up to one slot and never understated.
	slotsPerWindow = 20
	// demandSlots is the number of slots over which demand is measured, about one second of a window of 5 s.
	demandSlots = 4
)

// usage counts the requests of one organisation at this node by slots of time. A time that goes back counts in the slot in
// progress.
type usage struct {
	slot     int64 // number of the slot in progress
	admitted [slotsPerWindow + 1]int32
	arrived  [slotsPerWindow + 1]int32
	sum      int // of admitted
	demand   int // of arrived in the last demandSlots
}

// advance moves to the slot of the given time and returns the number of requests that have left the window.
func (u *usage) advance(now, window time.Duration) (left int) {
	before := u.sum
	slot := int64(now) / max(1, int64(window)/slotsPerWindow)
	if slot-u.slot > slotsPerWindow {
		*u = usage{slot: slot}
		return before
	}
	for u.slot < slot {
		u.slot++
		i := u.slot % (slotsPerWindow + 1)
		u.sum -= int(u.admitted[i])
		u.admitted[i], u.arrived[i] = 0, 0
		old := (u.slot - demandSlots) % (slotsPerWindow + 1)
		if old >= 0 {
			u.demand -= int(u.arrived[old])
		}
	}
	return before - u.sum
}

func (u *usage) arrive() {
	u.arrived[u.slot%(slotsPerWindow+1)]++
	u.demand++
}

func (u *usage) admit() {
	u.admitted[u.slot%(slotsPerWindow+1)]++
	u.sum++
}

// giveBack takes back one admission of the slot in progress or of the one before it. An older one stays counted until it leaves
// the window.
func (u *usage) giveBack() {
	for back := range int64(2) {
		if u.slot < back {
			return
		}
		i := (u.slot - back) % (slotsPerWindow + 1)
		if u.admitted[i] > 0 {
			u.admitted[i]--
			u.sum--
			return
		}
	}
}
