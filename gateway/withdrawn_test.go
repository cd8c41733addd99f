package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinefront.dev/platform/wire"
	"sardinefront.dev/standin/slotengine"
)

// Guards against refusals of requests for a service that a change of the configuration adds: the
// routes were in force before its queue existed.
func TestAddedServiceIsUsedAtOnce(t *testing.T) {
	const added = "added"
	fx := newFixture(t)
	fx.addServer(added, slotengine.Config{})
	held, apply := fx.log.hold(`"version":2,`)
	fx.startHost()
	fx.store.Put(wire.KeyConfig, []byte(strings.ReplaceAll(string(configuration(2, 0)), `"`+plainName+`"`, `"`+added+`"`)))
	<-held
	c := fx.dial()
	fx.send(c, "GET", pathIdempotent, "")
	time.Sleep(50 * time.Millisecond) // the request is handled by the new routes
	close(apply)
	if resp := fx.read(c); resp.status != http.StatusOK {
		t.Errorf("response %+v", resp)
	}
}
