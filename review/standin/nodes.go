package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pathbend/pathbend/internal/platformsim"
	"github.com/pathbend/pathbend/platform"
)

// node is one machine that runs the project's program as the deploy file says.
type node struct {
	name             string
	front, readiness string
	settings         string
	output           *os.File

	mutex   sync.Mutex
	process *exec.Cmd
	done    chan struct{}
}

// cluster is the surroundings of the nodes: a store, samplers and a folder for settings.
type cluster struct {
	folder       string
	program      string
	store        *platformsim.Store
	storeAddress string
	nodes        []*node
	// version is that of the configuration, namedAt when the newest weights were named.
	version uint64
	namedAt time.Time
	// retention is statusIntervalS of the settings.
	retention time.Duration
}

func newCluster() (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, program: "target/pathbend", store: platformsim.NewStore(1), storeAddress: listener.Addr().String(), retention: 120 * time.Second}
	server := &http.Server{Handler: c.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return c, nil
}

// settingsText holds the settings of a node of a small deployment, as DEPLOY.md shows them.
const settingsText = `nodeName: "%s"
role: "node"
machineClass: "edge"
serves:
  - "edge"
ip: "%s"
zone: "%s"
region: "dakar"
zones:
  plateau: "dakar"
  fann: "dakar"
  diamniadio: "dakar"
listen:
  front: "%s:8161"
  readiness: "%s:8167"
portRange:
  - 7720
  - 7735
bootstrap: true
limits:
  cpuShare: 0.8
  cores: 1
  memoryMb: 294
  maxFds: 8200
  linkMbps: 1000.0
  diskMb: 0
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "platform"]
faultTolerance:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  addrReuseS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4.3
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  outerMs: 5000
  recoverS: 12
  passMs: 120
  retryAfterS: 0
  finishS: 10
  statusIntervalS: %d
  cancelMs: 3000
  settleMs: 1000
  quotaOver: 0.1
  requireFence: false
  leaseMs: 3000
  thawMs: 300
provider:
  address: "%s"
  form: "log"
  writes_per_s: 800
  reads_per_s: 2000
  parts: 8
  append_ms: 4.0
  part_mb_per_s: 20.0
  read_mb_per_s: 80.0
  record_bytes: 262144
  call_bytes: 2097152
  queueTtlS: 300
  part_mb: 200
  ttl_min_ms: 1000
`

// zoneNames are the zones of the deployment.
var zoneNames = []string{"plateau", "fann", "diamniadio"}

// addNodes writes the settings of three nodes, one in each zone, and starts them.
func (c *cluster) addNodes() error {
	for i, zone := range zoneNames {
		ip, err := freeAddress(i)
		if err != nil {
			return err
		}
		n := &node{name: fmt.Sprintf("edge-%s-1", zone), front: ip + ":8161", readiness: ip + ":8167"}
		n.settings = filepath.Join(c.folder, n.name+".yaml")
		content := fmt.Sprintf(settingsText, n.name, ip, zone, ip, ip, int(c.retention.Seconds()), c.storeAddress)
		if err := os.WriteFile(n.settings, []byte(content), 0o600); err != nil {
			return err
		}
		if n.output, err = os.Create(filepath.Join(c.folder, n.name+".log")); err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := c.start(n); err != nil {
			return err
		}
	}
	return nil
}

// nodePorts are the ports that a node listens on.
var nodePorts = []int{8161, 8167, 7720, 7721, 9464}

// freeAddress returns a loopback address of its own for a node, on which its ports are free.
func freeAddress(number int) (string, error) {
	for try := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+try, 10+number)
		free := true
		for _, port := range nodePorts {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address has the ports %v free", nodePorts)
}

// start runs the program with the command of the deploy file.
func (c *cluster) start(n *node) error {
	command := exec.Command(c.program, "platform", "--metrics-port", "9464")
	command.Env = []string{platform.SettingsPathVariable + "=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.folder}
	command.Stdout, command.Stderr = n.output, n.output
	if err := command.Start(); err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	done := make(chan struct{})
	n.process, n.done = command, done
	go func() {
		// The exit code does not matter: every process ends by a signal of ours.
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(signal syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// terminate stops a node as the platform does: SIGTERM, then SIGKILL after the grace period.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(8 * time.Second):
		n.signal(syscall.SIGKILL)
		<-n.done
	}
}

// close ends all processes and removes the folder.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGKILL)
		if n.done != nil {
			<-n.done
		}
	}
	_ = os.RemoveAll(c.folder)
}

// ready asks a node whether it is ready.
func (n *node) ready() bool {
	conn, err := net.DialTimeout("tcp", n.readiness, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	answer := make([]byte, 12)
	_, err = io.ReadFull(conn, answer)
	return err == nil && string(answer) == "HTTP/1.1 200"
}

// awaitReady waits until all nodes are ready.
func (c *cluster) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range c.nodes {
			all = all && n.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// route is a route of the configuration.
type route map[string]any

// putConfig writes the next version of the configuration to the store, which acknowledges it.
func (c *cluster) putConfig(routes []route, services []string) time.Time {
	c.version++
	list := []map[string]any{}
	for _, name := range services {
		service := map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 150, "protocol": "h1", "tls": false}
		if strings.HasPrefix(name, "llm") {
			service["engine"] = map[string]any{"slots": 8, "kvCapacity": 100000, "models": []map[string]string{{"name": model}}}
		}
		list = append(list, service)
	}
	content, err := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "services": list,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	c.store.Put(platform.TopicOperator, platform.KeyConfig, content)
	return time.Now()
}
