package fleet

import "slices"

// Labels of a machine's bin that tasks may prefer: spot machines, which the cloud may preempt, and
// on-demand machines.
const (
	SpotLabel     = "spot"
	OnDemandLabel = "firm"
)

// ImageLabel returns the label of machines that have or fetch an image.
func ImageLabel(name string) string { return "image " + name }

// ImageReadyLabel returns the label of machines on which an image has been used, not only requested.
func ImageReadyLabel(name string) string { return "ready " + name }

// image is an image that a machine has or fetches.
type image struct {
	name   string
	sizeGB float64
}

// UseImage records that an image of gb gigabytes is fetched or used on the machine. It models the
// worker's cache, which evicts the least recently used images above cacheGB. The most recently
// used image is kept even if it is larger than the cache.
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

// evictImages removes the n least recently used images.
func (m *Machine) evictImages(n int) {
	for _, old := range m.images[:n] {
		m.Bin.SetLabel(ImageLabel(old.name), false)
		m.Bin.SetLabel(ImageReadyLabel(old.name), false)
	}
	m.images = slices.Clone(m.images[n:])
}
