package wire

// UsualSlowness is the Slowness of a replica whose machine works at its usual speed.
const UsualSlowness = 100

// StatedLoad is the load that a replica states with a response, over the requests of all
// hosts. The zero value means that it states none.
type StatedLoad struct {
	Running  uint32 // requests that run
	Waiting  uint32 // requests that wait for a slot
	Slots    uint32 // requests that can run at once; at least 1 if the load is stated
	Slowness uint32 // time that work currently takes on the machine, in percent of the usual time
}

// Stated reports whether the replica states a load.
func (l StatedLoad) Stated() bool { return l.Slots > 0 }
