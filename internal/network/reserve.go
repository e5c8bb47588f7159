package network

import (
	"net"
	"sync"
)

// Reserved is TCP with addresses that are reserved before their owner listens. A
// port that was found free, closed and bound later may be another program's by
// then; a reserved one is listened on all the while, and the listener is handed to
// whoever listens there first. It is safe for concurrent use.
type Reserved struct {
	TCP

	mutex sync.Mutex
	held  map[string]net.Listener
}

// NewReserved returns a network without reservations.
func NewReserved() *Reserved { return &Reserved{held: make(map[string]net.Listener)} }

// Reserve returns an address of the loopback interface that is free for one
// listener.
func (r *Reserved) Reserve() (string, error) {
	listener, err := r.TCP.Listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	address := listener.Addr().String()
	r.held[address] = listener
	return address, nil
}

// Listen implements Network. It takes a reservation up, or listens as TCP does.
func (r *Reserved) Listen(address string) (net.Listener, error) {
	r.mutex.Lock()
	listener, reserved := r.held[address]
	delete(r.held, address)
	r.mutex.Unlock()
	if reserved {
		return listener, nil
	}
	return r.TCP.Listen(address)
}

// Close gives up the reservations that nobody took up.
func (r *Reserved) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for address, listener := range r.held {
		listener.Close()
		delete(r.held, address)
	}
}
