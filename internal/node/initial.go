package node

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// The initial members of a group are stored before the group's replica is created, so that a VM that
// exits before the group exists continues to form it after its restart. Otherwise it would only join,
// and if it is the VM that proposes the group, the group would never form.

func initialFile(folder string, group uint64) string {
	return filepath.Join(folder, fmt.Sprintf("group-%d.initial.json", group))
}

// saveInitial durably stores the initial members of a group.
func saveInitial(folder string, group uint64, vms []string) error {
	data, err := json.Marshal(vms)
	if err != nil {
		return errors.Wrap(err, "node: encode the VMs that form a group")
	}
	return errors.Wrap(writeDurably(initialFile(folder, group), data), "node: write the VMs that form a group")
}

// writeDurably replaces a file. Once it returns nil, the new content survives a loss of power; until then,
// the file keeps the old one.
func writeDurably(path string, data []byte) error {
	file, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	err = errors.CombineErrors(err, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err == nil {
		err = syncFolder(filepath.Dir(path))
	}
	return err
}

// loadInitial returns the stored initial members of a group, nil if there are none and this VM is to
// join the group.
func loadInitial(folder string, group uint64) ([]string, error) {
	data, err := os.ReadFile(initialFile(folder, group))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "node: read the VMs that form a group")
	}
	var vms []string
	return vms, errors.Wrapf(json.Unmarshal(data, &vms), "node: read %s", initialFile(folder, group))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(folder.Sync(), folder.Close())
}
