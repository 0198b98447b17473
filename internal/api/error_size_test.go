package api_test

import (
	"net/http"
	"strings"
	"testing"

	"drumpick/internal/api"
	"drumpick/internal/config"
	"drumpick/internal/messagesize"
	"drumpick/internal/peer"
	"drumpick/internal/simulation"
)

// Guards against an error response that quotes the request and exceeds the limit on a line of a
// response: each byte of a quoted text may take several bytes.
func TestErrorsAreBounded(t *testing.T) {
	server := api.New(&config.Config{Node: "n-0"}, simulation.NewStore().Client("n-0"), unreachablePeers{},
		fixedElection{node: "n-0"}, func() api.Leader { return &goldenLeader{} })
	submit := func(body string) peer.RelayReply {
		return server.HandleRequest(peer.RelayRequest{Method: peer.MethodSubmit, Body: []byte(body)})
	}
	heartbeat := func(body string) peer.RelayReply { return server.HandleHeartbeat([]byte(body)) }
	long, digits := strings.Repeat(`\u0000`, 10_000), strings.Repeat("9", 60_000)
	for name, reply := range map[string]peer.RelayReply{
		"task of a heartbeat":   heartbeat(`{"host":"m-1","stint":1,"tick":1,"shots":[{"shot":"` + long + `","try":1,"status":"running"}]}`),
		"state of a task":       heartbeat(`{"host":"m-1","stint":1,"tick":1,"shots":[{"shot":"j-1/0","try":1,"status":"` + long + `"}]}`),
		"number of a heartbeat": heartbeat(`{"host":"m-1","stint":` + digits + `}`),
		"number of a job":       submit(`{"uid":"j-1","shots":` + digits + `}`),
		"field of a job":        submit(`{"uid":"` + long + `"}`),
	} {
		if reply.Status != http.StatusBadRequest || len(reply.Body) > messagesize.Max/8 {
			t.Errorf("%s: got status %d with %d bytes, want 400 with a short text", name, reply.Status, len(reply.Body))
		}
	}
}
