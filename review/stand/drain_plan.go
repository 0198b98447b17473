package main

import (
	"fmt"
	"os/exec"
	"strings"
	"time"
)

// restartDelay is how long after its end the platform starts a controller again.
const restartDelay = 3 * time.Second

// supervise starts a controller again whenever it ends, as the platform does, and counts the ends.
func (d *deployment) supervise(n *node, ended chan<- string) {
	for {
		<-n.gone
		ended <- fmt.Sprintf("%s has ended by itself: %v", n.name, n.cmd.ProcessState)
		time.Sleep(restartDelay)
		if d.start(n) != nil {
			return
		}
	}
}

// drainPlan lets two large machines run an array of small tasks. With trouble an operator then asks for the plan
// of a drain of both, which changes nothing. The rule is broken if a controller ends by itself.
func drainPlan(rec *record, trouble bool) (bool, error) {
	types := []machineType{{
		Label: "g8", CPUs: 96, GPUs: 8, MemGB: 768, LocalGB: 200, PullGBS: 1, Hourly: 12, LowPrice: 4.5, StartupS: 2, Sites: zones,
	}}
	d, err := newDeployment(rec, smallSettings(), types, 2)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	array := newJob("j-000412", 800)
	array.CPUs, array.MemGB, array.realRunS, array.EstimateS = 0.2, 0.5, 200, 200
	if status, text := d.submit(array); status != 201 {
		return false, fmt.Errorf("not accepted: %d %s", status, text)
	}
	for end := time.Now().Add(30 * time.Second); d.running() < array.Tasks; time.Sleep(time.Second) {
		if time.Now().After(end) {
			return false, fmt.Errorf("%d tasks run", d.running())
		}
	}
	time.Sleep(3 * time.Second)
	rec.line("%d tasks run", d.running())
	ends := make(chan string, 100)
	for _, n := range d.nodes {
		go d.supervise(n, ends)
	}
	if trouble {
		d.askForPlan()
	}
	time.Sleep(10 * time.Second)
	ended := len(ends)
	for range ended {
		rec.line("%s", <-ends)
	}
	_, state, _ := d.poll(array.UID)
	rec.line("%s: %q; %d tasks run; sessions of machines ended by their lease: %d; ends of controllers: %d",
		array.UID, state, d.running(), d.endedLeases(), ended)
	return ended == 0, nil
}

// askForPlan runs the project's command line as an operator does: it asks the controllers in turn.
func (d *deployment) askForPlan() {
	var servers []string
	for _, n := range d.nodes {
		servers = append(servers, n.user)
	}
	plan := exec.Command("target/drumpickctl", "--server", strings.Join(servers, ","), "drain", "plan", "--type", "g8")
	d.rec.line("operator: drumpickctl drain plan --type g8")
	timer := time.AfterFunc(60*time.Second, func() { _ = plan.Process.Kill() })
	defer timer.Stop()
	out, err := plan.CombinedOutput()
	lines := strings.SplitAfter(string(out), "\n")
	d.rec.line("operator: %d lines, %v; the first ones:\n%s", len(lines), err, strings.Join(lines[:min(len(lines), 5)], ""))
}

// running returns how many tasks are on machines.
func (d *deployment) running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.present)
}
