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

// Platform is a fake platform: a list of instances that can be rebooted, and a Log. It implements store.Fleet and
// serves the list, the reboots and the log over HTTP.
type Platform struct {
	Log *Log

	mu             sync.Mutex
	instances      map[id.Instance]store.ListedInstance
	endpoints      map[id.Instance]*Endpoint
	tokens         map[string]bool
	rebootDuration time.Duration // how long a reboot takes
	down           bool
	reboots        []RebootEvent
}

// RebootEvent is the record of one reboot.
type RebootEvent struct {
	Instance id.Instance
	At       time.Time
}

// NewPlatform returns a platform without instances. A reboot takes the given time.
func NewPlatform(rebootDuration time.Duration) *Platform {
	return &Platform{
		Log: NewLog(), instances: map[id.Instance]store.ListedInstance{}, endpoints: map[id.Instance]*Endpoint{},
		tokens: map[string]bool{}, rebootDuration: rebootDuration,
	}
}

// Add adds an instance to the list. Its endpoint is nil if the instance runs in another process.
func (p *Platform) Add(listed store.ListedInstance, e *Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[listed.Instance] = listed
	p.endpoints[listed.Instance] = e
}

// Remove removes an instance from the list.
func (p *Platform) Remove(instance id.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, instance)
}

// SetDown makes the list and reboots fail, or work again if down is false.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Reboots returns all reboots that were started.
func (p *Platform) Reboots() []RebootEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]RebootEvent(nil), p.reboots...)
}

// List returns the instances, sorted by name.
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

// Reboot reboots an instance. Repeated calls with the same token have no effect.
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
	p.reboots = append(p.reboots, RebootEvent{Instance: instance, At: time.Now()})
	if e := p.endpoints[instance]; e != nil {
		e.Reboot(p.rebootDuration)
	}
	return nil
}

// Handler returns the handler of the platform's HTTP API.
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
	writeReply(w, struct{}{}, err)
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
	writeReply(w, batch, err)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	list, err := p.List(r.Context())
	if err == nil {
		tag := etag(list)
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	writeReply(w, list, err)
}

// etag returns an ETag that changes with the list.
func etag(list []store.ListedInstance) string {
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
	writeReply(w, struct{}{}, nil)
}

func (p *Platform) restart(w http.ResponseWriter, r *http.Request) {
	writeReply(w, struct{}{}, p.Reboot(r.Context(), id.Instance(r.PathValue("instance")), r.URL.Query().Get("token")))
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f LogFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Log.SetFault(f)
	writeReply(w, struct{}{}, nil)
}

func writeReply(w http.ResponseWriter, message any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(message)
}
