package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"drumpick/client"
)

// Submits a job and waits until it is done. The test server stands in for a controller.
func Example() {
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(http.StatusCreated)
			fmt.Fprint(w, `{"uid":"j-412","status":"pending"}`)
			return
		}
		fmt.Fprint(w, `{"uid":"j-412","status":"done","done":2,"running":0}`)
	}))
	defer controller.Close()

	c, err := client.New(controller.Listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	job := client.Job{
		ID: "j-412", Class: "train", Team: "vision", Shape: client.Batch, Priority: client.Standard,
		Tasks: 2, CPUs: 1, MemGB: 2, Image: "trainer", ImageGB: 0.5, EstimateS: 60,
	}
	_, created, err := c.Submit(ctx, job)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("created:", created)

	status, err := c.Wait(ctx, job.ID, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s, %d tasks\n", status.Status, status.Done)
	// Output:
	// created: true
	// done, 2 tasks
}
