package service_test

import (
	"context"
	"net/http"
	"testing"

	"sardinefront.dev/standin/service"
	"sardinefront.dev/target"
)

// Guards against a run that is not counted once and a response that differs from
// ExpectedBody, on which the checks of other tests depend.
func TestServe(t *testing.T) {
	s := service.New(service.Config{})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := target.NewService(target.Config{Name: "s", Address: s.Addr()})
	defer c.Close()
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
		request := target.Request{ID: "id-" + method, Method: method, Path: "/orders/7?a=b", Body: []byte("body")}
		resp, err := c.Do(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		got, err := target.ReadAll(resp.Body, 1<<20)
		if want := service.ExpectedBody(request.ID, method, "/orders/7", request.Body); err != nil || string(got) != want {
			t.Fatalf("%s: %s, %v, expected %s", method, got, err, want)
		}
		if n := s.RunCounts()[request.ID]; n != 1 {
			t.Fatalf("%s ran %d times", method, n)
		}
	}
}
