package service_test

import (
	"context"
	"net/http"
	"testing"

	"sardinefront.dev/standin/service"
	"sardinefront.dev/target"
)

// Guards against a run that is not counted and an answer that does not depend on
// the request.
func TestServe(t *testing.T) {
	s := service.New(service.Config{})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := target.NewService(target.Config{Name: "s", Address: s.Addr()})
	defer c.Close()
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
		call := target.Request{ID: "id-" + method, Method: method, Path: "/orders/7?a=b", Body: []byte("body")}
		ans, err := c.Do(context.Background(), call)
		if err != nil {
			t.Fatal(err)
		}
		got, err := target.ReadAll(ans.Body, 1<<20)
		if want := service.ExpectedBody(call.ID, method, "/orders/7", call.Body); err != nil || string(got) != want {
			t.Fatalf("%s: %s, %v, expected %s", method, got, err, want)
		}
		if n := s.RunCounts()[call.ID]; n != 1 {
			t.Fatalf("%s ran %d times", method, n)
		}
	}
}
