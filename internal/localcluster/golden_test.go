package localcluster

import (
	"net/http"
	"testing"

	"drumpick/internal/goldentest"
	"drumpick/internal/simulation"

	"github.com/gofiber/fiber/v2"
)

// The control API of a local cluster keeps its format. A change would break the other processes that call it.
func TestGoldenControl(t *testing.T) {
	cluster := &Cluster{Environment: simulation.NewEnvironment(t.Context()), options: Options{Zones: []string{"a"}}}
	app := fiber.New()
	cluster.mountControl(app)
	f := goldentest.Open(t, "golden-control.json")
	for _, x := range []struct{ name, method, uri string }{
		{"cut", "POST", "/cut/a?for=1ms"},
		{"cut, unknown zone", "POST", "/cut/x"},
		{"cut, no length of time", "POST", "/cut/a?for=x"},
		{"kill, unknown", "POST", "/kill/m-9"},
		{"upgrade, unknown", "POST", "/upgrade/m-9?to=1.1"},
		{"upgrade, no version", "POST", "/upgrade/m-9"},
		{"storm", "POST", "/storm/a"},
		{"history", "GET", "/history"},
	} {
		t.Run(x.name, func(t *testing.T) {
			send := func(r *http.Request) (*http.Response, error) { return app.Test(r, -1) }
			f.CheckExchange(t, x.name, goldentest.DoRequest(t, send, x.method, x.uri, ""))
		})
	}
}
