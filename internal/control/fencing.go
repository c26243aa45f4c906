package control

// maxFencedResources bounds the resources whose last fencing number is remembered. Numbers grow over
// all resources, so a forgotten resource still gets a higher number than before.
const maxFencedResources = 10_000

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

// evictOldest drops the resource with the lowest number.
func (f *fencing) evictOldest() {
	var oldest Fencing
	for _, issued := range f.byResource {
		if oldest.Number == 0 || issued.Number < oldest.Number {
			oldest = issued
		}
	}
	delete(f.byResource, oldest.Resource)
}
