package raft

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"egretramp/internal/raft/raftpb"
)

// DecodeMessage parses and validates a message from the network.
func DecodeMessage(data []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "raft message")
	}
	return m, CheckMessage(m)
}

// CheckMessage returns an error if a message lacks fields that its type requires or is inconsistent.
func CheckMessage(m *raftpb.Message) error {
	if m == nil || m.Group == 0 || m.From == 0 {
		return errors.New("raft message: group or sender is missing")
	}
	switch m.Type {
	case raftpb.MessageType_MESSAGE_TYPE_HELLO, raftpb.MessageType_MESSAGE_TYPE_HELLO_REPLY:
		return nil
	case raftpb.MessageType_MESSAGE_TYPE_FORM:
		if m.Form == nil || m.Form.Formation == 0 || checkConf(m.Form.Conf) != nil {
			return errors.New("raft message: incomplete formation")
		}
		return nil
	case raftpb.MessageType_MESSAGE_TYPE_APPEND:
		return checkEntries(m)
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		if s := m.Snapshot; s == nil || s.Term > m.Term || checkConf(s.Conf) != nil {
			return errors.New("raft message: incomplete snapshot")
		}
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK:
		if s := m.Snapshot; s == nil || s.Term > m.Term || checkConf(s.Conf) != nil {
			return errors.New("raft message: incomplete snapshot")
		}
		if c := m.Chunk; c == nil || len(m.Snapshot.Data) == 0 || c.Offset+uint64(len(m.Snapshot.Data)) > c.Size || c.Offset > c.Size {
			return errors.New("raft message: a chunk doesn't fit into its snapshot")
		}
	case raftpb.MessageType_MESSAGE_TYPE_SNAPSHOT_CHUNK_REPLY:
		if m.Chunk == nil {
			return errors.New("raft message: incomplete reply to a chunk")
		}
	}
	if m.Term == 0 || m.To == 0 || m.Formation == 0 {
		return errors.New("raft message: term, receiver or formation is missing")
	}
	return nil
}

func checkEntries(m *raftpb.Message) error {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e == nil || e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return errors.Newf("raft message: entries after %d are not in order", m.Index)
		}
		if e.Type == raftpb.EntryType_ENTRY_TYPE_MEMBERSHIP && checkConf(e.Conf) != nil {
			return errors.Newf("raft message: entry %d has no valid membership", e.Index)
		}
		term = e.Term
	}
	if m.Term == 0 || m.To == 0 || m.Formation == 0 || term > m.Term {
		return errors.New("raft message: term, receiver or formation is missing")
	}
	return nil
}

func checkConf(conf *raftpb.ConfState) error {
	if conf == nil || hasRepeatedID(conf) || countVoters(conf) == 0 {
		return errors.New("raft: a membership needs voters with distinct IDs")
	}
	return nil
}
