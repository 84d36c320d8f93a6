package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/control/store"
)

// Platform is the platform's list and reboots beside its Log; it implements store.Fleet and
// serves both by HTTP.
type Platform struct {
	Log *Log

	mu        sync.Mutex
	instances map[id.Instance]store.ListedInstance
	endpoints map[id.Instance]*Endpoint
	tokens    map[string]bool
	reboot    time.Duration // how long a reboot takes
	down      bool
	reboots   []Rebooted
}

// Rebooted is one reboot that took place.
type Rebooted struct {
	Instance id.Instance
	At       time.Time
}

// NewPlatform returns a platform without instances whose reboots take a time.
func NewPlatform(reboot time.Duration) *Platform {
	return &Platform{
		Log: NewLog(), instances: map[id.Instance]store.ListedInstance{}, endpoints: map[id.Instance]*Endpoint{},
		tokens: map[string]bool{}, reboot: reboot,
	}
}

// Add lists an instance; its endpoint may be nil when it runs as another process.
func (p *Platform) Add(listed store.ListedInstance, e *Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[listed.Instance] = listed
	p.endpoints[listed.Instance] = e
}

// Remove takes an instance off the list.
func (p *Platform) Remove(instance id.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, instance)
}

// SetDown makes the list and reboots fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Reboots returns the reboots that took place.
func (p *Platform) Reboots() []Rebooted {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Rebooted(nil), p.reboots...)
}

// List returns the instances in order.
func (p *Platform) List(context.Context) ([]store.ListedInstance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, errDown
	}
	list := make([]store.ListedInstance, 0, len(p.instances))
	for _, listed := range p.instances {
		list = append(list, listed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list, nil
}

// Reboot restarts an instance once for each token.
func (p *Platform) Reboot(_ context.Context, instance id.Instance, token string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return errDown
	}
	if p.tokens[token] {
		return nil
	}
	if _, ok := p.instances[instance]; !ok {
		return errors.NotFoundf("instance %s", instance)
	}
	p.tokens[token] = true
	p.reboots = append(p.reboots, Rebooted{Instance: instance, At: time.Now()})
	if e := p.endpoints[instance]; e != nil {
		e.Reboot(p.reboot)
	}
	return nil
}

// Handler returns the platform's HTTP form.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", p.append)
	mux.HandleFunc("GET /streams/{stream}", p.read)
	mux.HandleFunc("GET /instances", p.list)
	mux.HandleFunc("POST /instances", p.add)
	mux.HandleFunc("POST /instances/{instance}/reboot", p.restart)
	mux.HandleFunc("POST /fault", p.setFault)
	return mux
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = p.Log.Append(r.Context(), r.PathValue("stream"), data)
	}
	reply(w, struct{}{}, err)
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait is not a time", http.StatusBadRequest)
		return
	}
	batch, err := p.Log.Read(r.Context(), r.PathValue("stream"), from, wait)
	reply(w, batch, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(r.Context())
	if err == nil {
		tag := tagOf(list)
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	reply(w, list, err)
}

// tagOf returns a tag that changes with the list.
func tagOf(list []store.ListedInstance) string {
	hash := xxhash.New()
	_ = json.NewEncoder(hash).Encode(list)
	return strconv.Quote(strconv.FormatUint(hash.Sum64(), 16))
}

func (p *Platform) add(w http.ResponseWriter, r *http.Request) {
	var listed store.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&listed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Add(listed, nil)
	reply(w, struct{}{}, nil)
}

func (p *Platform) restart(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, p.Reboot(r.Context(), id.Instance(r.PathValue("instance")), r.URL.Query().Get("token")))
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f LogFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Log.SetFault(f)
	reply(w, struct{}{}, nil)
}

func reply(w http.ResponseWriter, message any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(message)
}
