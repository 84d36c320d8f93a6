package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/endpoint"
)

func TestFaultsByRequest(t *testing.T) {
	tests := []struct {
		fault  string
		status int // of the fault's own request
		task   int // of a task sent afterwards
	}{
		{"refuses", http.StatusOK, http.StatusServiceUnavailable},
		{"nonsense", http.StatusBadRequest, http.StatusServiceUnavailable},
		{"fails", http.StatusOK, http.StatusInternalServerError},
		{"", http.StatusOK, http.StatusOK},
	}
	e := NewEndpoint(EndpointConfig{Slots: 1, Journal: &Journal{}, Work: func(string) time.Duration { return 0 }})
	for _, tt := range tests {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/fault", strings.NewReader(tt.fault)))
		if w.Code != tt.status {
			t.Errorf("fault %q answered %d, want %d", tt.fault, w.Code, tt.status)
		}
		task := httptest.NewRequest(http.MethodPost, "/run", strings.NewReader("x"))
		task.Header.Set(endpoint.LeaseHeader, "1s")
		w = httptest.NewRecorder()
		e.ServeHTTP(w, task)
		if w.Code != tt.task {
			t.Errorf("a task after fault %q answered %d, want %d", tt.fault, w.Code, tt.task)
		}
	}
}
