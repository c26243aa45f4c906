package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
)

// Ports are the same on all machines, as on the users' platform.
const (
	internalPort = 7780
	controlPort  = 8367
	frontPort    = 8368
	readyPort    = 8369
	metricsPort  = 9464 // fixed by deploy/system.toml
	replicaPort  = 8080
)

// Bounds of the sheets in SYSTEM.md.
const (
	heartbeat       = 1200 * time.Millisecond
	stabilityWindow = 3 * time.Second
	drainTimeout    = 2 * time.Second
	graceTime       = 8 * time.Second
	recoverTime     = 12 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// roleCommands are the commands of deploy/system.toml.
var roleCommands = map[string][]string{
	"edge": {"target/egretrampd", "--platform"}, "core": {"target/egretrampd", "--platform"}, "storage": {"target/egretrampd", "--platform"},
}

// machine is one machine of the platform with its process.
type machine struct {
	fleet  *fleet
	name   string
	class  string // edge, core or storage
	zone   string
	ip     string
	folder string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// sizes are the limits of a class of machines.
type sizes struct {
	cpu                  float64
	memoryMB, fds, links int
	diskMB               int
}

// fleet is a small deployment: its machines, and the loopback subnet that it uses.
type fleet struct {
	rec      *recorder
	folder   string
	subnet   string
	sizes    map[string]sizes
	machines []*machine
	catchUp  float64
}

// pelucaSizes are those of the Peluca Co-op sheet.
var pelucaSizes = map[string]sizes{
	"edge": {0.4, 134, 4100, 1000, 0}, "storage": {0.8, 154, 8200, 600, 390}, "core": {0.48, 280, 4096, 1000, 128},
}

// newFleet returns a fleet with one core and one storage machine in each of the 3 zones, and the given number of edge machines.
func newFleet(rec *recorder, edges int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "egretramp-review-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, subnet: subnet, sizes: pelucaSizes, catchUp: 4.4}
	for i := range 3 {
		f.add("core", zones[i], 11+i)
	}
	for i := range 3 {
		f.add("storage", zones[i], 21+i)
	}
	for i := range edges {
		f.add("edge", zones[i%3], 31+i)
	}
	return f, nil
}

// freeSubnet returns the first three parts of a loopback subnet of which no port that is needed is taken.
func freeSubnet() (string, error) {
	for try := range 200 {
		n := os.Getpid() + try*97
		subnet := fmt.Sprintf("127.%d.%d", 80+n/250%100, 1+n%250)
		free := true
		for _, host := range []int{11, 12, 13, 21, 22, 23, 31, 32, 33, 34, 35, 36, 37, 101, 102, 121} {
			for _, port := range []int{internalPort, controlPort, frontPort, readyPort, metricsPort, replicaPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback subnet")
}

func (f *fleet) add(class, zone string, host int) *machine {
	m := &machine{fleet: f, class: class, zone: zone, ip: fmt.Sprintf("%s.%d", f.subnet, host)}
	n := 1
	for _, other := range f.machines {
		if other.class == class && other.zone == zone {
			n++
		}
	}
	m.name = fmt.Sprintf("%s-%s-%d", class, zone, n)
	m.folder = filepath.Join(f.folder, m.name)
	f.machines = append(f.machines, m)
	return m
}

func (f *fleet) class(class string) []*machine {
	var list []*machine
	for _, m := range f.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// settings returns the settings file that DEPLOY.md describes.
func (m *machine) settings(firstStart bool) string {
	f := m.fleet
	var seeds []string
	for _, c := range f.class("core") {
		seeds = append(seeds, fmt.Sprintf("%q", c.address(controlPort)))
	}
	serves := map[string]string{"edge": "edge", "core": wireName("control"), "storage": "storage"}[m.class]
	role := map[string]string{"edge": "entry", "core": "control", "storage": "store"}[m.class]
	z := f.sizes[m.class]
	data, listen := "", ""
	switch m.class {
	case "edge":
		listen = fmt.Sprintf("front = %q\nready = %q\n", m.address(frontPort), m.address(readyPort))
	case "core":
		listen = fmt.Sprintf("control = %q\n", m.address(controlPort))
	}
	if m.class != "edge" {
		data = fmt.Sprintf("data_dir = %q\n", filepath.Join(m.folder, "data"))
	}
	return fmt.Sprintf(settingsFormat, m.name, role, m.class, serves, m.ip, m.zone, internalPort, internalPort+15, strings.Join(seeds, ","), firstStart, m.class != "edge",
		data, heartbeat.Milliseconds(), listen, z.cpu, z.memoryMB, z.fds, z.links, z.diskMB,
		stabilityWindow.Milliseconds(), f.catchUp, drainTimeout.Milliseconds(), int(graceTime.Seconds()), int(recoverTime.Seconds()))
}

// start writes the settings and starts the process with the command of the deploy file.
func (m *machine) start(firstStart bool) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	settings := filepath.Join(m.folder, "local.toml")
	if err := os.WriteFile(settings, []byte(m.settings(firstStart)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	run := roleCommands[m.class]
	command := exec.Command(run[0], run[1:]...)
	command.Env = []string{wireName("settings") + "=" + settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if value, ok := os.LookupEnv(name); ok {
			command.Env = append(command.Env, name+"="+value)
		}
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	m.fleet.rec.line("platform: started %s at %s, first_start = %v", m.name, m.ip, firstStart)
	return nil
}

// startAll starts all machines as at the first start of the system.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s) // the process may have exited
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.fleet.rec.line("platform: SIGKILL to %s", m.name)
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// wipe removes the machine's disk. The process must not run.
func (m *machine) wipe() error {
	m.fleet.rec.line("platform: the disk of %s is lost", m.name)
	return os.RemoveAll(filepath.Join(m.folder, "data"))
}

func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// stop ends all processes that the fleet started.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range f.machines {
		if m.exited != nil {
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// plain sends a call to the system's own interfaces and returns the status, 0 for no answer.
func plain(method, url string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := plainClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: nil}

// configure sends a configuration as the operator does, until it is acknowledged.
func (f *fleet) configure(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		for _, c := range f.class("core") {
			status, _ := plain(http.MethodPut, "http://"+c.address(controlPort)+wireName("calls")+"config", data, time.Second)
			if status == http.StatusOK {
				f.rec.line("operator: configuration %v acknowledged by %s", config["version"], c.name)
				return nil
			}
			if status >= 400 && status < 500 {
				return fmt.Errorf("the configuration was refused with %d", status)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

// awaitReady waits until all edge machines report ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range f.class("edge") {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) ready() bool {
	status, _ := plain(http.MethodGet, "http://"+m.address(readyPort)+wireName("calls")+"readyz", nil, time.Second)
	return status == http.StatusOK
}
