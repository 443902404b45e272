package guard_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"

	"currantport.example/entry/internal/guard"
)

func TestRefusesRoutesUntilCurrent(t *testing.T) {
	cases := []struct {
		path    string
		current bool
		want    int
	}{
		{"/v1/routes/draft", false, http.StatusServiceUnavailable},
		{"/v1/routes/draft", true, http.StatusOK},
		{"/v1/addresses", false, http.StatusOK},
	}
	for _, c := range cases {
		r := mux.NewRouter()
		r.Use(guard.New(func() bool { return c.current }))
		r.PathPrefix("/").HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, c.path, nil))
		if w.Code != c.want {
			t.Errorf("%s while current is %t: status %d, want %d", c.path, c.current, w.Code, c.want)
		}
		if w.Code != http.StatusOK && w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After header", c.path)
		}
	}
}
