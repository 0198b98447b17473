package scheduler

import "drumpick/internal/packing"

// placementKey contains everything that decides which machines can take a task of an unconstrained
// job, apart from the machines that are held for other jobs.
type placementKey struct {
	request packing.Resources
	zone    string
	spot    bool
	image   string // only machines that have this image ready; "": all machines
}

// placementClasses maps placement keys to class numbers, from 1. Jobs of the same class are
// equivalent: if one finds no room, neither do those that are served later.
type placementClasses map[placementKey]int

// classOf returns the class number of a placement key, and assigns one if it is new.
func (p placementClasses) classOf(key placementKey) int {
	if p[key] == 0 {
		p[key] = len(p) + 1
	}
	return p[key]
}

// assign sets a job's placement class and image class. A constrained job (Job.unconstrained) has none.
func (p placementClasses) assign(job *Job) {
	if !job.unconstrained() {
		return
	}
	key := placementKey{request: job.request, spot: job.Spot}
	if job.Job.Zone != nil {
		key.zone = *job.Job.Zone
	}
	job.placementClass = p.classOf(key)
	key.image = job.Image
	job.imageClass = p.classOf(key)
}

// prune discards the classes that belong only to closed jobs, once they are the majority, and
// renumbers the classes of the open jobs.
func (p placementClasses) prune(jobs map[string]*Job) {
	if len(p) <= 4*len(jobs)+64 {
		return
	}
	clear(p)
	for _, job := range jobs {
		p.assign(job)
	}
}
