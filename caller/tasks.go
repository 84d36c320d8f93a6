package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/task"
)

// Status is a submitted task as its caller sees it.
type Status struct {
	ID        string     `json:"id"`
	State     task.State `json:"state"`
	Detail    string     `json:"detail,omitempty"`
	Status    int        `json:"status,omitempty"` // of the endpoint's answer
	Submitted time.Time  `json:"submitted"`
	Ended     time.Time  `json:"ended,omitzero"`
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	request, problem := h.read(w, r)
	w.Header().Set("Request-Id", request.ID)
	if problem != nil {
		problem.write(w)
		return
	}
	if r.Header.Get("Deadline") == "" {
		request.Deadline = time.Now().Add(maxDeadline)
	}
	t, err := h.config.Server.Submit(r.Context(), request)
	if err != nil {
		explain(err).write(w)
		return
	}
	w.Header().Set("Location", "/v1/tasks/"+t.ID)
	show(w, http.StatusAccepted, t)
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	if t, ok := h.find(w, r, false); ok {
		show(w, http.StatusOK, t)
	}
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	if t, ok := h.find(w, r, true); ok {
		show(w, http.StatusOK, t)
	}
}

// collect passes on a task's answer, or says why there is none.
func (h *Handler) collect(w http.ResponseWriter, r *http.Request) {
	t, ok := h.find(w, r, false)
	if !ok {
		return
	}
	switch {
	case t.State == task.Done && t.Detail == "":
		if t.AnswerType != "" {
			w.Header().Set("Content-Type", t.AnswerType)
		}
		w.WriteHeader(t.Status)
		_, _ = w.Write(t.Answer)
	case !t.State.Ended():
		show(w, http.StatusAccepted, t)
	case t.State == task.Refused:
		refusal(http.StatusConflict, t.Detail).write(w)
	case t.State == task.Done:
		(&Problem{Title: "Gone", Status: http.StatusGone, Detail: t.Detail, Outcome: Ran}).write(w)
	default:
		(&Problem{Title: "Conflict", Status: http.StatusConflict, Detail: t.Detail, Outcome: Unknown}).write(w)
	}
}

// find looks a task up, or answers why it cannot.
func (h *Handler) find(w http.ResponseWriter, r *http.Request, cancel bool) (task.Task, bool) {
	key, ok := secret(r.Header.Get("Authorization"))
	if !ok || key == "" {
		refusal(http.StatusUnauthorized, "Authorization is not of the form Bearer KEY").write(w)
		return task.Task{}, false
	}
	ask := peer.TaskRequest{Task: r.PathValue("task"), Cancel: cancel}
	if text := r.URL.Query().Get("wait"); text != "" {
		if ask.Wait, ok = deadline(text); !ok {
			refusal(http.StatusBadRequest, "wait is not a time such as 10s").write(w)
			return task.Task{}, false
		}
	}
	if cancel {
		ask.Wait = cancelWait
	}
	t, err := h.config.Server.Task(r.Context(), key, ask)
	if err != nil {
		explain(err).write(w)
		return task.Task{}, false
	}
	return t, true
}

// cancelWait is how long a cancellation waits for the task's end.
const cancelWait = 2 * time.Second

func show(w http.ResponseWriter, status int, t task.Task) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Status{
		ID: t.ID, State: t.State, Detail: t.Detail, Status: t.Status, Submitted: t.Submitted, Ended: t.Ended,
	})
}

var _ Server = (*entry.Control)(nil)
