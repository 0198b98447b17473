package scheduler

import "drumpick/internal/packing"

// placementKey is all that decides whether an unconstrained job's task has room.
type placementKey struct {
	request packing.Resources
	zone    string
	spot    bool
	image   string // of jobs that are to start where it is; otherwise ""
}

// placementClasses numbers placement keys, from 1. Jobs with the same number are equal: where one finds
// no room, neither does the other.
type placementClasses map[placementKey]int

// classOf returns the number of a placement key.
func (p placementClasses) classOf(key placementKey) int {
	if p[key] == 0 {
		p[key] = len(p) + 1
	}
	return p[key]
}

// assign gives a job the class numbers that it shares with equal jobs.
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

// prune numbers the open jobs again once most numbers belong to closed ones.
func (p placementClasses) prune(jobs map[string]*Job) {
	if len(p) <= 4*len(jobs)+64 {
		return
	}
	clear(p)
	for _, job := range jobs {
		p.assign(job)
	}
}
