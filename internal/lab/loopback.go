package lab

import (
	"fmt"
	"sync"

	"github.com/pathbend/pathbend/internal/network"
)

// Loopback is a Networks in which every host uses free ports of the loopback interface.
type Loopback struct {
	network *network.ReservingNetwork

	mutex sync.Mutex
	// reserved maps a host and port to the address reserved for it.
	reserved map[string]string
}

// NewLoopback returns a Loopback without any reserved address.
func NewLoopback() *Loopback {
	return &Loopback{network: network.NewReservingNetwork(), reserved: make(map[string]string)}
}

// For implements Networks.
func (l *Loopback) For(string, string) network.Network { return l.network }

// Address implements Networks. The returned port stays reserved until the first listener
// uses it. The same host and port always get the same address, also after a restart.
func (l *Loopback) Address(host string, port int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := fmt.Sprintf("%s:%d", host, port)
	if address, ok := l.reserved[key]; ok {
		return address
	}
	address, err := l.network.Reserve()
	if err != nil {
		return "127.0.0.1:0" // the subsequent Listen reports the cause
	}
	l.reserved[key] = address
	return address
}
