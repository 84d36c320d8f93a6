package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"marigoldshed.example/marigoldshed/entry"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/task"
)

// Status is the state of a submitted task in the callers' format.
type Status struct {
	ID        string     `json:"id"`
	State     task.State `json:"state"`
	Detail    string     `json:"detail,omitempty"`
	Status    int        `json:"status,omitempty"` // HTTP status of the endpoint's answer
	Submitted time.Time  `json:"submitted"`
	Ended     time.Time  `json:"ended,omitzero"`
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	request, problem := h.parseRequest(w, r)
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
		problemFor(err).write(w)
		return
	}
	w.Header().Set("Location", "/v1/tasks/"+t.ID)
	writeStatus(w, http.StatusAccepted, t)
}

func (h *Handler) taskStatus(w http.ResponseWriter, r *http.Request) {
	if t, ok := h.lookUpTask(w, r, false); ok {
		writeStatus(w, http.StatusOK, t)
	}
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	if t, ok := h.lookUpTask(w, r, true); ok {
		writeStatus(w, http.StatusOK, t)
	}
}

// taskAnswer writes a task's answer, or the state or problem because of which there is none.
func (h *Handler) taskAnswer(w http.ResponseWriter, r *http.Request) {
	t, ok := h.lookUpTask(w, r, false)
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
		writeStatus(w, http.StatusAccepted, t)
	case t.State == task.Refused:
		newProblem(http.StatusConflict, t.Detail).write(w)
	case t.State == task.Done:
		(&Problem{Title: "Gone", Status: http.StatusGone, Detail: t.Detail, Outcome: Ran}).write(w)
	default:
		(&Problem{Title: "Conflict", Status: http.StatusConflict, Detail: t.Detail, Outcome: Unknown}).write(w)
	}
}

// lookUpTask returns the task of a request and, with cancel, cancels the task. On failure it writes a problem and returns
// false.
func (h *Handler) lookUpTask(w http.ResponseWriter, r *http.Request, cancel bool) (task.Task, bool) {
	key, ok := parseAuthorization(r.Header.Get("Authorization"))
	if !ok || key == "" {
		newProblem(http.StatusUnauthorized, "Authorization is not of the form Bearer KEY").write(w)
		return task.Task{}, false
	}
	request := peer.TaskRequest{Task: r.PathValue("task"), Cancel: cancel}
	if text := r.URL.Query().Get("wait"); text != "" {
		if request.Wait, ok = parseDeadline(text); !ok {
			newProblem(http.StatusBadRequest, "wait is not a time such as 10s").write(w)
			return task.Task{}, false
		}
	}
	if cancel {
		request.Wait = cancelWait
	}
	t, err := h.config.Server.Task(r.Context(), key, request)
	if err != nil {
		problemFor(err).write(w)
		return task.Task{}, false
	}
	return t, true
}

// cancelWait bounds how long a cancellation waits for the end of the task.
const cancelWait = 2 * time.Second

func writeStatus(w http.ResponseWriter, status int, t task.Task) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Status{
		ID: t.ID, State: t.State, Detail: t.Detail, Status: t.Status, Submitted: t.Submitted, Ended: t.Ended,
	})
}

var _ Server = (*entry.Control)(nil)
