// Command standins starts a small deployment of egretramp as separate processes on loopback addresses, plays the
// clients, the replicas, the operator and the platform around it, and judges one promise. It is run by the scripts
// of the review's cases.
package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// Ports are the same on all machines.
const (
	portPeers   = 17780
	portFront   = 18368
	portReady   = 18369
	portControl = 18367
	portServer  = 18425
)

var zones = []string{"lk-west-a", "lk-west-b", "lk-west-c"}

// memoryMB is the memory of a machine by class, as on the sheet of footfall-commons.
var memoryMB = map[string]int{"edge": 284, "storage": 304, "core": 280}

var (
	roles       = map[string]string{"edge": "entry", "core": "control", "storage": "store"}
	descriptors = map[string]int{"edge": 4100, "storage": 8200, "core": 4096}
	diskMB      = map[string]int{"storage": 390, "core": 128}
)

// fleet is the deployment and what was seen of it.
type fleet struct {
	repo, folder string
	network      string // the first three numbers of all addresses
	machines     []*machine
	seeds        []string
	record       *record
	ending       bool
	mu           sync.Mutex
}

// record is the file record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine with its process. The platform restarts a process that ends.
type machine struct {
	fleet             *fleet
	name, class, zone string
	ip                string
	mu                sync.Mutex
	process           *exec.Cmd
	exited            chan struct{}
	firstStart        bool
	held              bool // the platform does not restart it
	starts            int
	overLimit         int // ends for memory
	ownEnds           int // ends by itself, for whatever reason
	mostMB            int
	killed            bool // by the test
}

func newFleet(recordPath string) (*fleet, error) {
	repo, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-fleet-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{repo: repo, folder: folder, record: &record{file: file, started: time.Now()}}
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if free(f.network+".11", portPeers) && free(f.network+".11", portControl) && free(f.network+".31", portFront) {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func free(ip string, port int) bool {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// start starts a machine of each class in each zone; entries is the number of edge machines.
func (f *fleet) start(edges int) error {
	for i := range 3 {
		f.machines = append(f.machines, &machine{fleet: f, name: "core-" + zones[i] + "-1", class: "core", zone: zones[i], ip: fmt.Sprintf("%s.%d", f.network, 11+i), firstStart: true})
		f.seeds = append(f.seeds, fmt.Sprintf("%s.%d:%d", f.network, 11+i, portControl))
	}
	for i := range 3 {
		f.machines = append(f.machines, &machine{fleet: f, name: "storage-" + zones[i] + "-1", class: "storage", zone: zones[i], ip: fmt.Sprintf("%s.%d", f.network, 21+i), firstStart: true})
	}
	for i := range edges {
		f.machines = append(f.machines, &machine{fleet: f, name: fmt.Sprintf("edge-%s-%d", zones[i%3], 1+i/3), class: "edge", zone: zones[i%3], ip: fmt.Sprintf("%s.%d", f.network, 31+i), firstStart: true})
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) of(class string) []*machine {
	var list []*machine
	for _, m := range f.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

//go:embed settings.toml.tmpl
var settingsTemplate string

// settings returns the settings file of DEPLOY.md with the bounds of footfall-commons.
func (m *machine) settings() (string, error) {
	t, err := template.New("settings").Parse(settingsTemplate)
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"Name": m.name, "Class": m.class, "Role": roles[m.class], "Serves": m.serves(), "IP": m.ip, "Zone": m.zone, "Zones": zones, "FirstStart": m.firstStart,
		"Counts": m.class != "edge", "Seeds": m.fleet.seeds, "FirstPort": portPeers, "LastPort": portPeers + 15, "MemoryMB": memoryMB[m.class],
		"Descriptors": descriptors[m.class], "DiskMB": diskMB[m.class],
	}
	if m.class != "edge" {
		values["DataFolder"] = m.dataFolder()
	}
	listen := map[string]string{}
	switch m.class {
	case "edge":
		listen["front"], listen["ready"] = fmt.Sprintf("%s:%d", m.ip, portFront), fmt.Sprintf("%s:%d", m.ip, portReady)
	case "core":
		listen["control"] = fmt.Sprintf("%s:%d", m.ip, portControl)
	}
	values["Listen"] = listen
	var b strings.Builder
	err = t.Execute(&b, values)
	return b.String(), err
}

// serves returns what the machine's role serves.
func (m *machine) serves() string {
	if m.class == "core" {
		return name("serves-control")
	}
	return m.class
}

func (m *machine) dataFolder() string { return filepath.Join(m.fleet.folder, m.name+".data") }

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.class != "edge" {
		if err := os.MkdirAll(m.dataFolder(), 0o755); err != nil {
			return err
		}
	}
	settings := filepath.Join(m.fleet.folder, m.name+".toml")
	text, err := m.settings()
	if err == nil {
		err = os.WriteFile(settings, []byte(text), 0o644)
	}
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(m.fleet.repo, "target/egretrampd"), "--platform")
	command.Dir, command.Stdout, command.Stderr = m.fleet.repo, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.folder, "LANG=C", name("settings-variable") + "=" + settings}
	if err := command.Start(); err != nil {
		return err
	}
	m.process, m.exited, m.killed = command, make(chan struct{}), false
	m.firstStart = false
	m.starts++
	m.fleet.record.line("%s: start %d, process %d", m.name, m.starts, command.Process.Pid)
	go m.watch(command, m.exited)
	return nil
}

// watch waits for the process's end, and restarts it after a short delay unless the test holds it.
func (m *machine) watch(command *exec.Cmd, exited chan struct{}) {
	over := make(chan struct{})
	go m.limitMemory(command, exited, over)
	err := command.Wait()
	close(exited)
	m.mu.Lock()
	reason := fmt.Sprint(err)
	select {
	case <-over:
		m.overLimit++
		m.ownEnds++
		reason = "killed by the platform: over memory_mb"
	default:
		if !m.killed {
			m.ownEnds++
		}
	}
	held := m.held
	m.mu.Unlock()
	if m.fleet.isEnding() {
		return
	}
	m.fleet.record.line("%s: its process %d ended (%s)", m.name, command.Process.Pid, reason)
	if held {
		return
	}
	time.Sleep(500 * time.Millisecond)
	if !m.fleet.isEnding() {
		if err := m.start(); err != nil {
			m.fleet.record.line("%s: cannot start: %v", m.name, err)
		}
	}
}

// limitMemory kills the process when its own memory exceeds memory_mb, as the platform does. Only anonymous pages are
// counted, so file mappings and what the kernel holds for it are free.
func (m *machine) limitMemory(command *exec.Cmd, exited, over chan struct{}) {
	path := fmt.Sprintf("/proc/%d/status", command.Process.Pid)
	for {
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		_, rest, found := bytes.Cut(data, []byte("RssAnon:"))
		if !found {
			continue
		}
		kb, err := strconv.Atoi(strings.Fields(string(rest))[0])
		if err != nil {
			continue
		}
		mb := kb / 1024
		m.mu.Lock()
		m.mostMB = max(m.mostMB, mb)
		m.mu.Unlock()
		if mb > memoryMB[m.class] {
			m.fleet.record.line("%s: process %d uses %d MB, memory_mb is %d", m.name, command.Process.Pid, mb, memoryMB[m.class])
			close(over)
			_ = command.Process.Kill()
			return
		}
	}
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.killed = true
	}
	m.fleet.record.line("%s: %v", m.name, s)
	_ = m.process.Process.Signal(s)
}

func (f *fleet) isEnding() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ending
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	f.ending = true
	f.mu.Unlock()
	for _, m := range f.machines {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range f.machines {
		if m.exited != nil {
			<-m.exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(f.folder, keep)
	}
	_ = os.RemoveAll(f.folder)
	_ = f.record.file.Close()
}

// operator sends a call to a control machine and returns the status, 0 for none.
func (f *fleet) operator(i int, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	core := f.of("core")
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", core[i%len(core)].ip, portControl, path), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// configure sends a configuration until it is acknowledged.
func (f *fleet) configure(body string) error {
	for i := range 100 {
		if status, _ := f.operator(i, http.MethodPut, name("path-config"), body); status == http.StatusOK {
			f.record.line("operator: configuration acknowledged")
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// ready reports whether an edge machine is ready.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", m.ip, portReady, name("path-ready")))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all edge machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range f.of("edge") {
			all = all && m.ready()
		}
		if all {
			f.record.line("all edge machines are ready")
			return nil
		}
	}
	return fmt.Errorf("the edge machines are not ready")
}
