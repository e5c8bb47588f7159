package network

import (
	"net"
	"sync"
)

// ReservingNetwork is a TCP network that can reserve addresses before their owner listens. A
// port that was found free, closed and bound again later may have been taken by another
// program; a reserved address stays open, and the first Listen on it gets the open
// listener. It is safe for concurrent use.
type ReservingNetwork struct {
	TCP

	mutex        sync.Mutex
	reservations map[string]net.Listener
}

// NewReservingNetwork returns a network without reservations.
func NewReservingNetwork() *ReservingNetwork {
	return &ReservingNetwork{reservations: make(map[string]net.Listener)}
}

// Reserve reserves a free port of the loopback interface for one listener and returns
// its address.
func (r *ReservingNetwork) Reserve() (string, error) {
	listener, err := r.TCP.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	address := listener.Addr().String()
	r.reservations[address] = listener
	return address, nil
}

// Listen implements Network. It returns the listener of a reserved address and ends the
// reservation, or listens as TCP does.
func (r *ReservingNetwork) Listen(address string) (net.Listener, error) {
	r.mutex.Lock()
	listener, reserved := r.reservations[address]
	delete(r.reservations, address)
	r.mutex.Unlock()
	if reserved {
		return listener, nil
	}
	return r.TCP.Listen(address)
}

// Close closes the listeners of unused reservations.
func (r *ReservingNetwork) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, listener := range r.reservations {
		listener.Close()
		delete(r.reservations, address)
	}
}
