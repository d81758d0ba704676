package control

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/register"
)

const wholeConfiguration = `{"revision":7,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/a/",` +
	`"timeoutMs":100,"service":"s"}],"services":[{"name":"s"}],"limits":{},"later":true}`

type exchange struct {
	method, path, base, body string
	status                   int
}

func (e exchange) run(c *qt.C, r *replica) *httptest.ResponseRecorder {
	request := httptest.NewRequest(e.method, e.path, strings.NewReader(e.body))
	if e.base != "" {
		request.Header.Set(baseHeader, e.base)
	}
	recorder := httptest.NewRecorder()
	newAPIServer(r, newRetirement(r), logr.Discard()).Handler.ServeHTTP(recorder, request)
	c.Assert(recorder.Code, qt.Equals, e.status, qt.Commentf("%s %s %.40s: %s", e.method, e.path, e.body, recorder.Body))
	return recorder
}

func TestOperatorCalls(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *network, core []*replica) {
		core[1].order(c.Context(), register.SetStores([]register.StoreMember{{Node: "store-1"}}))
		for _, e := range []exchange{
			{"GET", "/Config.Read", "", "", 404},
			{"POST", "/Config.Replace", "", wholeConfiguration, 400},
			{"POST", "/Config.Replace", "-1", wholeConfiguration, 400},
			{"POST", "/Config.Replace", "0", wholeConfiguration[:80], 400},
			{"POST", "/Config.Replace", "0", "", 400},
			{"POST", "/Config.Replace", "0", strings.Repeat(" ", bodyMost+1), 413},
			{"POST", "/Config.Replace", "0", wholeConfiguration, 200},
			{"POST", "/Config.Replace", "0", wholeConfiguration, 200},
			{"POST", "/Config.Replace", "0", strings.Replace(wholeConfiguration, "7", "8", 1), 412},
			{"POST", "/Config.Replace", "7", strings.Replace(wholeConfiguration, "7", "6", 1), 400},
			{"GET", "/Config.Replace", "", "", 405},
			{"POST", "/Config.Read", "", "", 405},
			{"GET", "/elsewhere", "", "", 404},
			{"POST", "/Retire.Begin/nowhere", "", `{"deadlineS":10}`, 404},
			{"POST", "/Retire.Begin/store-1", "", `{"deadlineS":10}`, 409},
			{"POST", "/Retire.Begin/store-1", "", `{`, 400},
			{"GET", "/Retire.Read/store-1", "", "", 404},
		} {
			e.run(c, core[1])
		}
		read := exchange{"GET", "/Config.Read", "", "", 200}.run(c, core[2])
		c.Assert(read.Body.String(), qt.Equals, wholeConfiguration)
	})
}

func TestOperatorIsToldToComeBackWithoutAMajority(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		n.setCut(true, 2, 3)
		for _, e := range []exchange{
			{"GET", "/Config.Read", "", "", 503},
			{"POST", "/Config.Replace", "0", wholeConfiguration, 503},
		} {
			answer := e.run(c, core[1])
			c.Assert(answer.Header().Get("Retry-After"), qt.Equals, retryAfterSeconds)
		}
	})
}
