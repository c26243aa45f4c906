package replica

import (
	"encoding/binary"
	"math/rand"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft"
	"egretramp/internal/raft/invariant"
	"egretramp/internal/raft/raftpb"
	"egretramp/internal/raft/storage"
)

var errCrash = errors.New("simulated crash")

// recorder is a state machine that records each command and the index at which it was applied.
type recorder struct{ log []recorded }

type recorded struct{ command, index uint64 }

func (r *recorder) Apply(index uint64, data []byte) []byte {
	r.log = append(r.log, recorded{binary.BigEndian.Uint64(data), index})
	return binary.BigEndian.AppendUint64(nil, index)
}

func (r *recorder) Snapshot() ([]byte, error) {
	data := make([]byte, 0, len(r.log)*16)
	for _, e := range r.log {
		data = binary.BigEndian.AppendUint64(data, e.command)
		data = binary.BigEndian.AppendUint64(data, e.index)
	}
	return data, nil
}

func (r *recorder) Restore(data []byte) error {
	r.log = nil
	for ; len(data) > 0; data = data[16:] {
		r.log = append(r.log, recorded{binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])})
	}
	return nil
}

// last returns the index of the last applied command.
func (r *recorder) last() uint64 {
	if len(r.log) == 0 {
		return 0
	}
	return r.log[len(r.log)-1].index
}

// fakeDisk is an in-memory store that outlives a node; Save may simulate a crash of the VM before or
// after the sync.
type fakeDisk struct {
	identity *raftpb.Identity
	state    raft.State
	crash    func() (before, after bool)
	checker  *invariant.Checker
}

func newFakeDisk(vm string, id uint64, s *simulation) *fakeDisk {
	return &fakeDisk{identity: &raftpb.Identity{Group: 1, Replica: id, Vm: vm}, crash: s.drawCrash, checker: s.checker}
}

func (d *fakeDisk) Identity() *raftpb.Identity { return d.identity }

func (d *fakeDisk) Save(b storage.Batch) error {
	before, after := d.crash()
	if before {
		return errCrash
	}
	d.write(b)
	if err := raft.CheckState(d.state); err != nil {
		return errors.Wrapf(err, "batch %+v", b)
	}
	if len(b.Entries) > 0 {
		previous := d.state.Bounds.BaseTerm
		if at := b.Entries[0].Index - d.state.Bounds.BaseIndex; at > 1 {
			previous = d.state.Entries[at-2].Term
		}
		if err := d.checker.Stored(previous, b.Entries); err != nil {
			return err
		}
	}
	if after {
		return errCrash
	}
	return nil
}

func (d *fakeDisk) write(b storage.Batch) {
	if b.Formation != 0 {
		d.identity = proto.Clone(d.identity).(*raftpb.Identity)
		d.identity.Formation = b.Formation
	}
	if b.Hard != nil {
		d.state.Hard = b.Hard
	}
	if b.Snapshot != nil {
		d.state.Snapshot = b.Snapshot
		kept := []*raftpb.Entry(nil)
		if !b.ReplaceLog {
			kept = append(kept, d.state.Entries[b.BaseIndex-d.state.Bounds.BaseIndex:]...)
		}
		d.state.Entries = kept
		d.state.Bounds = &raftpb.LogBounds{BaseIndex: b.BaseIndex, BaseTerm: b.BaseTerm}
	}
	if len(b.Entries) > 0 {
		keep := b.Entries[0].Index - d.state.Bounds.BaseIndex - 1
		d.state.Entries = append(append([]*raftpb.Entry(nil), d.state.Entries[:keep]...), b.Entries...)
	}
	d.state.Bounds = &raftpb.LogBounds{
		BaseIndex: d.state.Bounds.BaseIndex, BaseTerm: d.state.Bounds.BaseTerm,
		LastIndex: d.state.Bounds.BaseIndex + uint64(len(d.state.Entries)),
	}
}

// simVM is a simulated VM with its disk and, while it runs, its node.
type simVM struct {
	vm          string
	disk        *fakeDisk
	node        *node
	app         *recorder
	inbox       []*raftpb.Message
	frozenUntil int
	downUntil   int
	seenCommit  uint64
}

type packet struct {
	at int
	m  *raftpb.Message
}

// simulation runs nodes over a faulty network and faulty disks, one tick at a time.
type simulation struct {
	random     *rand.Rand
	checker    *invariant.Checker
	initial    []string
	vms        []*simVM
	packets    []packet
	cutLinks   map[[2]string]bool
	now        int
	faults     bool
	nextID     uint64
	commands   uint64
	diskLosses int
	hadLeader  bool
	// lastRepair is the tick at which a replica last replaced a lost one.
	lastRepair int
	// smallMessages is set if snapshots are sent in chunks; chunks counts the chunks sent.
	smallMessages bool
	// commitAtHeartbeat is set if the leader sends a new commit index with appends and periodic heartbeats only.
	commitAtHeartbeat bool
	chunks            int
	memberCount       int
	err               error
	// openGroup is set if the group has open membership; see simopen_test.go.
	openGroup *openGroupSim
}

const (
	simElectionTicks  = 10
	simHeartbeatTicks = 2
	simSnapshotEvery  = 20
	// simSmallMessageBytes makes a snapshot of this many bytes or more go in chunks. A command has 16 in it.
	simSmallMessageBytes = 200
)

func newSimulation(seed int64) *simulation {
	s := &simulation{random: rand.New(rand.NewSource(seed)), checker: invariant.New(), cutLinks: map[[2]string]bool{}, faults: true, smallMessages: seed%2 == 1, commitAtHeartbeat: seed%8 >= 4}
	size := 3
	if seed%4 == 3 {
		size = 5
	}
	for i := range size {
		s.initial = append(s.initial, string(rune('a'+i)))
	}
	for _, vm := range s.initial {
		s.addVM(vm)
	}
	return s
}

func (s *simulation) addVM(vm string) {
	m := &simVM{vm: vm}
	s.vms = append(s.vms, m)
	s.wipe(m)
	s.boot(m)
}

func (s *simulation) fail(err error) {
	if s.err == nil && err != nil {
		s.err = err
	}
}

func (s *simulation) chance(perMille int) bool { return s.random.Intn(1000) < perMille }

// drawCrash decides at random whether the VM crashes before or after a sync.
func (s *simulation) drawCrash() (before, after bool) {
	if !s.faults || !s.chance(6) {
		return false, false
	}
	before = s.chance(500)
	return before, !before
}

// wipe replaces a VM's disk by an empty one and so gives its replica a new ID.
func (s *simulation) wipe(m *simVM) {
	s.nextID++
	m.disk = newFakeDisk(m.vm, s.nextID<<32|uint64(s.random.Uint32()), s)
	m.seenCommit = 0
}

func (s *simulation) boot(m *simVM) {
	m.app = &recorder{}
	options := nodeOptions{
		group: 1, vm: m.vm, initialVMs: s.initial, machine: m.app,
		electionTicks: simElectionTicks, heartbeatTicks: simHeartbeatTicks, snapshotEvery: simSnapshotEvery,
		seed: s.random.Int63(), commitAtHeartbeat: s.commitAtHeartbeat, send: func(vm string, message *raftpb.Message) { s.transmit(m.vm, vm, message) },
	}
	if s.smallMessages {
		options.maxMessageBytes = simSmallMessageBytes
	}
	if s.openGroup != nil {
		s.openGroup.configure(s, m, &options)
	}
	n, err := newNode(options, m.disk, m.disk.state)
	if err != nil {
		s.fail(errors.Wrapf(err, "restart VM %s", m.vm))
		return
	}
	m.node = n
	m.downUntil = 0
}

func (s *simulation) crashVM(m *simVM, ticks int) {
	m.node = nil
	m.inbox = nil
	m.frozenUntil = 0
	m.downUntil = s.now + ticks
}

// transmit sends a message, subject to random loss, duplication and delay, and so reordering.
func (s *simulation) transmit(from, to string, m *raftpb.Message) {
	if m.Type == raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK {
		s.chunks++
	}
	copies := 1
	delay := 0
	if s.faults {
		if s.cutLinks[[2]string{from, to}] || s.chance(40) {
			return
		}
		if s.chance(40) {
			copies = 2
		}
	}
	for range copies {
		if s.faults && s.chance(150) {
			delay = s.random.Intn(6)
		}
		if s.faults && s.chance(4) {
			delay = s.random.Intn(150)
		}
		s.packets = append(s.packets, packet{at: s.now + 1 + delay, m: m})
	}
}

func (s *simulation) deliver() {
	var later []packet
	var due []*raftpb.Message
	for _, p := range s.packets {
		if p.at > s.now {
			later = append(later, p)
			continue
		}
		due = append(due, p.m)
	}
	s.packets = later
	for _, m := range due {
		for _, to := range s.vms {
			if to.vm == m.ToVm && to.node != nil {
				to.inbox = append(to.inbox, m)
			}
		}
	}
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now++
	s.deliver()
	switch {
	case s.openGroup != nil:
		s.openGroup.step(s)
	case s.faults:
		s.injectFaults()
	}
	s.request()
	for _, m := range s.vms {
		if m.node == nil && s.now >= m.downUntil {
			s.boot(m)
		}
		if m.node != nil && s.now >= m.frozenUntil {
			s.run(m)
		}
		if s.err != nil {
			return
		}
	}
}

func (s *simulation) run(m *simVM) {
	inbox := m.inbox
	m.inbox = nil
	err := m.node.tick()
	for _, message := range inbox {
		if err == nil {
			err = m.node.step(message)
		}
		if err == nil && s.random.Intn(3) == 0 {
			err = m.node.flush()
		}
	}
	if err == nil {
		err = m.node.flush()
	}
	if errors.Is(err, errCrash) {
		s.crashVM(m, 1+s.random.Intn(40))
		return
	}
	s.fail(err)
	if m.node.discovery.abandoned {
		former := formerReplicas(m.disk.identity)
		s.wipe(m)
		m.disk.identity.Former = former
		s.boot(m)
		return
	}
	s.observe(m)
}

func (s *simulation) observe(m *simVM) {
	n := m.node
	if !n.hasFormation() {
		return
	}
	id := n.raft.ID()
	for index := max(m.seenCommit, n.raft.SnapshotIndex()) + 1; index <= n.raft.Commit(); index++ {
		term, _ := n.raft.TermAt(index)
		s.fail(s.checker.Committed(id, index, term))
	}
	m.seenCommit = n.raft.Commit()
	if n.isLeader() {
		s.hadLeader = true
		if conf := n.raft.Conf(); len(conf.Members) < s.memberCount {
			s.lastRepair = s.now
		}
		s.memberCount = len(n.raft.Conf().Members)
		s.fail(s.checker.Leader(n.raft.Term(), id, n.raft.SnapshotIndex(), n.raft.LastIndex(), n.raft.TermAt))
	}
}

// request proposes commands and reads on all VMs that act as leader, including stale leaders.
func (s *simulation) request() {
	for _, m := range s.vms {
		if m.node == nil || s.now < m.frozenUntil || !m.node.isLeader() {
			continue
		}
		for range s.random.Intn(3) {
			s.commands++
			command := s.commands
			m.node.propose(binary.BigEndian.AppendUint64(nil, command), func(result []byte, err error) {
				if err == nil {
					s.checker.Acknowledged(command, binary.BigEndian.Uint64(result))
				}
			})
		}
		if s.chance(300) {
			floor, app, id := s.checker.ReadFloor(), m.app, m.node.raft.ID()
			m.node.readIndex(s.chance(500), func(err error) {
				if err == nil {
					s.fail(s.checker.Read(id, floor, app.last()))
				}
			})
		}
	}
}
