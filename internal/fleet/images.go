package fleet

import "slices"

// Labels of a machine's bin that tasks may prefer: the cloud may preempt the machine, or it may not.
const (
	SpotLabel     = "spot"
	OnDemandLabel = "firm"
)

// ImageLabel is the label of a machine that has an image, or fetches it.
func ImageLabel(name string) string { return "image " + name }

// ImageReadyLabel is the label of a machine where an image has been used, not only requested.
func ImageReadyLabel(name string) string { return "ready " + name }

// image is one that a machine has, or fetches.
type image struct {
	name   string
	sizeGB float64
}

// UseImage notes that an image of gb gigabytes is fetched, or used, on a machine whose worker keeps
// the images last used, up to a cache of cacheGB. An image larger than the cache is kept while it is
// the one last used.
func (m *Machine) UseImage(name string, gb, cacheGB float64) {
	if n := len(m.images); n > 0 && m.images[n-1].name == name {
		return
	}
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == name })
	m.images = append(m.images, image{name, gb})
	m.Bin.SetLabel(ImageLabel(name), true)
	sum := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		sum += m.images[i].sizeGB
		if sum > cacheGB && i < len(m.images)-1 {
			m.evictImages(i + 1)
			return
		}
	}
}

// evictImages forgets the n images that were not used for longest.
func (m *Machine) evictImages(n int) {
	for _, old := range m.images[:n] {
		m.Bin.SetLabel(ImageLabel(old.name), false)
		m.Bin.SetLabel(ImageReadyLabel(old.name), false)
	}
	m.images = slices.Clone(m.images[n:])
}
