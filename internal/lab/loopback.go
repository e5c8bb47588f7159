package lab

import (
	"fmt"
	"sync"

	"github.com/pathbend/pathbend/internal/network"
)

// Loopback places every host on free ports of the loopback interface.
type Loopback struct {
	network *network.Reserved

	mutex    sync.Mutex
	reserved map[string]string
}

// NewLoopback returns a loopback network.
func NewLoopback() *Loopback {
	return &Loopback{network: network.NewReserved(), reserved: make(map[string]string)}
}

// For implements Networks.
func (l *Loopback) For(string, string) network.Network { return l.network }

// Address implements Networks. The port is kept free for its first listener; the
// same host and port get the same address again, as after a restart.
func (l *Loopback) Address(host string, port int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := fmt.Sprintf("%s:%d", host, port)
	if address, ok := l.reserved[key]; ok {
		return address
	}
	address, err := l.network.Reserve()
	if err != nil {
		return "127.0.0.1:0" // the caller's own Listen reports the cause
	}
	l.reserved[key] = address
	return address
}
