package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// largeArrays: ten arrays of 100,000 small tasks come at once, and after them an ordinary job. The platform ends a
// controller that holds more memory than its settings say, and starts it again. The rule is broken if controllers were
// ended for memory, and no task was started and the ordinary job is not done 75 seconds after it was accepted.
func largeArrays(d *deployment) (broken bool, err error) {
	const arrays = 10
	platform := &platform{d: d, limitKB: int(d.site.settings.Resources.RAMMB * 1024), ended: map[string]int{}, peakKB: map[string]int{}}
	quit := make(chan struct{})
	defer close(quit)
	go platform.watch(quit)
	if d.trouble {
		for i := range arrays {
			if !d.submit(captionIndex(fmt.Sprintf("j-%06d", 500+i), 100_000)) {
				return false, errors.New("no controller accepted an array")
			}
		}
	}
	if !d.submit(pressExport("j-000412", 6)) {
		return false, errors.New("no controller accepted the job")
	}
	done := d.pollUntilDone("j-000412", time.Now().Add(75*time.Second))
	ended := platform.report()
	d.printf("%d tasks were started; the ordinary job was called done: %t", d.Environment.Starts(), done)
	return ended > 0 && !done && d.Environment.Starts() == 0, nil
}

// captionIndex returns the submission of an array of small tasks of the class caption-index.
func captionIndex(id string, tasks int) []byte {
	return fmt.Appendf(nil, `{"uid":%q,"jobclass":"caption-index","owner":"digitisation-desk","shape":"batch",`+
		`"urgency":"standard","shots":%d,"vcpus":0.02,"gpus":0.0,"mem_gb":0.05,"build":"img-03","size_gb":0.9,`+
		`"rigs":null,"site":null,"one_zone":false,"apart":false,"loaners":true,`+
		`"guess_s":18.0,"snapshot_s":0.0,"flush_s":0.0,"due_s":null}`, id, tasks)
}

// platform ends a controller that goes over the limit of its memory. The deployment starts it again.
type platform struct {
	d       *deployment
	limitKB int

	mu     sync.Mutex     // guards the fields below
	ended  map[string]int // number of ends, by controller
	peakKB map[string]int // the most memory seen, by controller
}

// watchInterval is the interval between two readings of the memory of a controller.
const watchInterval = 50 * time.Millisecond

func (p *platform) watch(quit <-chan struct{}) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return
		case <-ticker.C:
		}
		for _, c := range p.d.Info.Controllers {
			pid := p.d.ControllerPID(c.Name)
			if heldKB, ok := anonymousMemory(pid); ok {
				p.observe(c.Name, pid, heldKB)
			}
		}
	}
}

func (p *platform) observe(controller string, pid, heldKB int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakKB[controller] = max(p.peakKB[controller], heldKB)
	if heldKB > p.limitKB && syscall.Kill(pid, syscall.SIGKILL) == nil {
		p.ended[controller]++
		p.d.printf("platform: %s holds %d KiB, of %d at the most, and is ended", controller, heldKB, p.limitKB)
	}
}

// report records the ends and the peaks, and returns the number of ends.
func (p *platform) report() (ended int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.d.Info.Controllers {
		p.d.printf("platform: %s was ended %d times, its peak was %d KiB", c.Name, p.ended[c.Name], p.peakKB[c.Name])
		ended += p.ended[c.Name]
	}
	return ended
}

// anonymousMemory returns how much memory a process holds apart from what it maps from files, in KiB; ok is false for a
// process that has ended.
func anonymousMemory(pid int) (heldKB int, ok bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if pid == 0 || err != nil {
		return 0, false
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			heldKB, err = strconv.Atoi(fields[1])
			return heldKB, err == nil
		}
	}
	return 0, false
}
