package lab

import (
	"fmt"
	"net"
	"sync"

	"github.com/pathbend/pathbend/internal/network"
)

// Loopback places every host on free ports of the loopback interface.
type Loopback struct {
	mutex    sync.Mutex
	reserved map[string]string
}

// NewLoopback returns a loopback network.
func NewLoopback() *Loopback { return &Loopback{reserved: make(map[string]string)} }

// For implements Networks.
func (*Loopback) For(string, string) network.Network { return network.TCP{} }

// Address implements Networks. The port is free at the time of the call; the
// same host and port get the same address again, as after a restart.
func (l *Loopback) Address(host string, port int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := fmt.Sprintf("%s:%d", host, port)
	if address, ok := l.reserved[key]; ok {
		return address
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0" // the caller's own Listen reports the cause
	}
	address := listener.Addr().String()
	listener.Close()
	l.reserved[key] = address
	return address
}
