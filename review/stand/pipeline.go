package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The pipeline: stages of jobs of one task, each of which needs all jobs of the stage before. The jobs that
// need the last stage are deliveries, each with a date of its own.
var (
	stages     = envInt("STAGES", 20)
	width      = envInt("WIDTH", 30)
	deliveries = envInt("DELIVERIES", 12)
)

// fleetSettings are those of kit/more/fleet/kadr-warszawa-fleet.toml.
func fleetSettings() settings {
	s := smallSettings()
	s.reportS, s.leaseS, s.cancelS = 5, 26.5, 46.5
	s.stateRPS, s.writeRPS, s.cloudRPS = 500, 60, 7
	s.cores, s.ramMB, s.sockets = 0.168, 356, 3431
	return s
}

// skanerBox is the machine type of the deployments in Warsaw.
func skanerBox() []machineType {
	return []machineType{{
		Label: "skaner-box", CPUs: 4, MemGB: 16, LocalGB: 100, PullGBS: 1, Hourly: 0.2, LowPrice: 0.05, StartupS: 2, Sites: zones,
	}}
}

// pipeline submits a pipeline whose first stage needs a job that runs for long, and checks that the machines
// keep their leases and that a small job submitted afterwards is done. With trouble the owners' estimates of
// the jobs' run times differ (5 to 305 s), without they are all 60 s.
func pipeline(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, fleetSettings(), skanerBox(), 2)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	first := newJob("j-000001", 1)
	first.EstimateS, first.realRunS = 300, 300
	if status, text := d.submit(first); status != 201 {
		return false, fmt.Errorf("not accepted: %d %s", status, text)
	}
	if err := d.submitPipeline(first.UID, trouble); err != nil {
		return false, err
	}
	rec.line("the pipeline is accepted")
	after := newJob("j-090000", 1)
	after.EstimateS, after.realRunS = 2, 2
	if status, text := d.submit(after); status != 201 {
		return false, fmt.Errorf("not accepted: %d %s", status, text)
	}
	done := d.awaitState(after.UID, "done", 45*time.Second)
	ended := d.endedLeases()
	rec.line("the small job is done: %v; sessions of machines ended by their lease: %d", done, ended)
	return done && ended == 0, nil
}

func (d *deployment) submitPipeline(root string, trouble bool) error {
	random := rand.New(rand.NewPCG(1, 2))
	needs, id := []string{root}, 1000
	for range stages {
		var stage []*job
		var names []string
		for range width {
			id++
			j := newJob(fmt.Sprintf("j-%06d", id), 1)
			j.Dependencies, j.EstimateS = needs, 60
			if trouble {
				j.EstimateS = 5 + 300*random.Float64()
			}
			stage = append(stage, j)
			names = append(names, j.UID)
		}
		if err := d.submitAll(stage, 0); err != nil {
			return err
		}
		needs = names
	}
	var last []*job
	for i := range deliveries {
		due := 36000 - 1800*float64(i)
		j := newJob(fmt.Sprintf("j-08%04d", i), 1)
		j.Dependencies, j.DeadlineS, j.Priority = needs, &due, "urgent"
		last = append(last, j)
	}
	return d.submitAll(last, 15*time.Millisecond)
}

// submitAll submits jobs, a few at a time, each a pause after the one before.
func (d *deployment) submitAll(jobs []*job, pause time.Duration) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failure error
	slots := make(chan struct{}, 12)
	for i, j := range jobs {
		d.addJob(j)
		time.Sleep(pause)
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			status, text := d.postFrom(i, "/work", j.UID, j)
			if status != 201 && status != 200 {
				mu.Lock()
				failure = fmt.Errorf("%s not accepted: %d %s", j.UID, status, text)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return failure
}
