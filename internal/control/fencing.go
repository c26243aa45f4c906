package control

// maxFencedResources limits the number of resources whose last fencing number is stored. Numbers
// increase across all resources, so an evicted resource still gets a higher number than before.
const maxFencedResources = 10_000

// fencing issues fencing numbers and stores the last one of each resource.
type fencing struct {
	last       uint64
	byResource map[string]Fencing
}

func newFencing() fencing {
	return fencing{byResource: map[string]Fencing{}}
}

func (f *fencing) issue(i *IssueFencing) *Fencing {
	f.last++
	issued := Fencing{Resource: i.Resource, Holder: i.Holder, Number: f.last}
	f.byResource[i.Resource] = issued
	if len(f.byResource) > maxFencedResources {
		f.evictOldest()
	}
	return &issued
}

// evictOldest deletes the resource with the lowest fencing number.
func (f *fencing) evictOldest() {
	var oldest Fencing
	for _, issued := range f.byResource {
		if oldest.Number == 0 || issued.Number < oldest.Number {
			oldest = issued
		}
	}
	delete(f.byResource, oldest.Resource)
}
