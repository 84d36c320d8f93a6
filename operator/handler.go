package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/rules"
)

// maxCallBytes bounds one call.
const maxCallBytes = 2 << 20

// Config configures a Handler.
type Config struct {
	Control *entry.Control
	Metrics *entry.Metrics
	Secret  string // bearer token of the operators' calls
}

// Handler handles calls of operators.
type Handler struct {
	config Config
	mux    *http.ServeMux
}

// NewHandler returns the handler of operators' calls and of metrics.
func NewHandler(c Config) *Handler {
	h := &Handler{config: c, mux: http.NewServeMux()}
	h.mux.Handle("GET /metrics", promhttp.HandlerFor(c.Metrics.Registry, promhttp.HandlerOpts{}))
	h.mux.HandleFunc("GET /v1/rules", h.requireSecret(h.rules))
	h.mux.HandleFunc("POST /v1/rules", h.requireSecret(h.apply))
	h.mux.HandleFunc("POST /v1/edit", h.requireSecret(h.edit))
	h.mux.HandleFunc("POST /v1/lapse", h.requireSecret(h.expire))
	h.mux.HandleFunc("GET /v1/status", h.requireSecret(h.status))
	return h
}

// ServeHTTP handles one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) requireSecret(next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + h.config.Secret)
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "the operators' secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxCallBytes)
		next(w, r)
	}
}

func (h *Handler) rules(w http.ResponseWriter, r *http.Request) {
	version, text, err := h.config.Control.Rules(r.Context())
	writeAnswer(w, Rules{Version: version, Text: text}, err)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.config.Control.Status(r.Context())
	writeAnswer(w, status, err)
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	var call Apply
	if !decode(w, r, &call) {
		return
	}
	if _, err := rules.Parse(call.Text); err != nil {
		writeAnswer(w, Result{Outcome: fleet.Outcome{Refused: err.Error()}}, nil)
		return
	}
	h.propose(w, r, call.By, fleet.Apply{Base: call.Base, Text: call.Text})
}

func (h *Handler) edit(w http.ResponseWriter, r *http.Request) {
	var call Edit
	if decode(w, r, &call) {
		h.propose(w, r, call.By, fleet.Edit{Set: call.Set, Remove: call.Remove})
	}
}

func (h *Handler) expire(w http.ResponseWriter, r *http.Request) {
	var call ExpireRequest
	if !decode(w, r, &call) {
		return
	}
	seq, err := h.config.Control.RenewalOf(r.Context(), id.Member(call.Member))
	if err != nil {
		writeAnswer(w, nil, err)
		return
	}
	h.propose(w, r, call.By, fleet.Lapse{Member: id.Member(call.Member), Seq: seq, Proof: fleet.ProofOperator})
}

func (h *Handler) propose(w http.ResponseWriter, r *http.Request, by string, record fleet.Record) {
	if by == "" {
		writeAnswer(w, Result{Outcome: fleet.Outcome{Refused: "the call does not name who asks"}}, nil)
		return
	}
	outcome, err := h.config.Control.Propose(r.Context(), by, record)
	var pending entry.PendingError
	if errors.As(err, &pending) {
		writeAnswer(w, Result{Pending: true, Detail: pending.Error()}, nil)
		return
	}
	writeAnswer(w, Result{Outcome: outcome}, err)
}

func decode(w http.ResponseWriter, r *http.Request, call any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(call); err != nil {
		http.Error(w, "the call cannot be read: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeAnswer(w http.ResponseWriter, message any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}
