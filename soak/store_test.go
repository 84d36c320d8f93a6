package soak

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the store handles requests.
type storeMode int

const (
	serving storeMode = iota
	unavailable
	unresponsive
	losingReplies // some appends are carried out but not answered
)

type record struct {
	key   string
	value []byte
	raw   []byte
}

type partition struct {
	records  []record
	epoch    int64
	sequence int64
}

type member struct {
	name      string
	topics    []string
	ttl       time.Duration
	renewedAt time.Time
}

// store is a stand-in for the platform's log that keeps all records.
type store struct {
	mu          sync.Mutex
	recordAdded *sync.Cond
	partitions  map[string]*partition
	members     map[string]*member
	generation  int64
	mode        storeMode
	heldReads   map[string]bool // partitions whose reads are not answered
	random      *rand.Rand
}

func newStore(seed uint64) *store {
	s := &store{partitions: map[string]*partition{}, heldReads: map[string]bool{}, members: map[string]*member{}, random: rand.New(rand.NewPCG(seed, 2))}
	s.recordAdded = sync.NewCond(&s.mu)
	go s.wakeReaders()
	return s
}

// wakeReaders wakes waiting reads every 20 ms so that they notice when their wait is over.
func (s *store) wakeReaders() {
	for range time.Tick(20 * time.Millisecond) {
		s.recordAdded.Broadcast()
	}
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	s.mode = m
	s.mu.Unlock()
}

// put writes a record of a keyed topic, as operators and workers do.
func (s *store) put(topic, key string, value any) {
	data, _ := json.Marshal(value)
	if value == nil {
		data = nil
	}
	s.mu.Lock()
	s.partition("keyed."+topic, 0).add(key, data)
	s.mu.Unlock()
	s.recordAdded.Broadcast()
}

func (s *store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) add(key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	p.records = append(p.records, record{key: key, value: value, raw: append(raw, value...)})
}

func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := v.store
	s.mu.Lock()
	mode := s.mode
	lost := mode == losingReplies && r.URL.Path == "/log-append" && s.random.IntN(4) == 0
	s.mu.Unlock()
	switch mode {
	case unavailable:
		http.Error(w, "{}", http.StatusServiceUnavailable)
		return
	case unresponsive:
		<-r.Context().Done()
		return
	case serving, losingReplies:
	}
	status, body := s.route(r, v)
	if lost {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) route(r *http.Request, v *view) (int, []byte) {
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	switch r.URL.Path {
	case "/log-append":
		return s.append(r, v, q.Get("topic"), part)
	case "/log-read":
		return s.read(r, v, q.Get("topic"), part)
	case "/log-newest":
		return s.newest(v, q.Get("topic"), part, q.Get("after"))
	case "/log-join", "/log-leave":
		return s.joinOrLeave(r, v)
	case "/log-owners":
		return s.owners(v)
	}
	return http.StatusNotFound, nil
}

func jsonReply(status int, value any) (int, []byte) {
	data, _ := json.Marshal(value)
	return status, data
}

func (s *store) append(r *http.Request, v *view, topic string, part int) (int, []byte) {
	var body []byte
	buffer := make([]byte, 64<<10)
	for {
		n, err := r.Body.Read(buffer)
		body = append(body, buffer[:n]...)
		if err != nil {
			break
		}
	}
	body = v.toInstances(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	q := r.URL.Query()
	if at, err := strconv.Atoi(q.Get("at")); err == nil && at != len(p.records) {
		return jsonReply(http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
	}
	if q.Has("epoch") {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		switch {
		case epoch < p.epoch:
			return jsonReply(http.StatusConflict, map[string]any{"reason": "fenced"})
		case epoch > p.epoch:
			p.epoch, p.sequence = epoch, sequence
		case len(body) > 0 && sequence != p.sequence:
			return jsonReply(http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence})
		}
		if len(body) > 0 {
			p.sequence = sequence + 1
		}
	}
	offset := len(p.records)
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		row := body[4 : 4+n]
		k := int(row[0])
		p.add(string(row[1:1+k]), row[1+k:])
		body = body[4+n:]
	}
	s.recordAdded.Broadcast()
	return jsonReply(http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) read(r *http.Request, v *view, topic string, part int) (int, []byte) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	isHeld := func() bool { return v.readsHeld || s.heldReads[topic+"/"+strconv.Itoa(part)] }
	for (len(p.records) <= from && time.Now().Before(until) || isHeld()) && r.Context().Err() == nil {
		s.recordAdded.Wait()
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for i := from; i < len(p.records) && len(data) < 900_000; i++ {
		data = binary.BigEndian.AppendUint32(data, uint32(len(p.records[i].raw)))
		data = append(data, v.toLinks(p.records[i].raw)...)
	}
	return http.StatusOK, data
}

func (s *store) newest(v *view, topic string, part int, after string) (int, []byte) {
	const pageItems = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	last := map[string]int{}
	for i, r := range p.records {
		last[r.key] = i
		if len(r.value) == 0 {
			delete(last, r.key)
		}
	}
	var keys []string
	for key := range last {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	keys = keys[:min(len(keys), pageItems)]
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(v.toLinks(p.records[last[key]].value)), "offset": last[key],
		})
	}
	return jsonReply(http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}

func (s *store) joinOrLeave(r *http.Request, v *view) (int, []byte) {
	var b struct {
		Member string
		Topics []string
		TTL    int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return http.StatusBadRequest, nil
	}
	b.Member = string(v.toInstances([]byte(b.Member)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers()
	if r.URL.Path == "/log-leave" {
		if s.members[b.Member] != nil {
			delete(s.members, b.Member)
			s.generation++
		}
		return jsonReply(http.StatusOK, map[string]any{})
	}
	if s.members[b.Member] == nil {
		s.generation++
	}
	s.members[b.Member] = &member{name: b.Member, topics: b.Topics, ttl: time.Duration(b.TTL) * time.Millisecond, renewedAt: time.Now()}
	return jsonReply(http.StatusOK, map[string]any{"generation": s.generation, "parts": []any{}})
}

func (s *store) expireMembers() {
	for name, m := range s.members {
		if time.Since(m.renewedAt) > m.ttl {
			delete(s.members, name)
			s.generation++
		}
	}
}

// owners assigns one partition to every member.
func (s *store) owners(v *view) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers()
	rows := [][]any{}
	for name, m := range s.members {
		rows = append(rows, []any{strings.Join(m.topics, ","), len(rows), string(v.toLinks([]byte(name))), 0})
	}
	return jsonReply(http.StatusOK, rows)
}
