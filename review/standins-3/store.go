package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the platform's log.
const (
	appendTime = 2 * time.Millisecond
	answerTime = 4 * time.Millisecond
	partCount  = 12
	pageItems  = 500
	pageBytes  = 1 << 20
	lastKept   = 5
)

type storedRecord struct {
	raw        []byte
	key        string
	value      []byte
	keyedValid bool
}

type answered struct{ sequence, offset, end int64 }

type producer struct {
	epoch int64
	next  int64
	fresh bool // a new epoch, of which any sequence number may be the first
	last  []answered
}

type part struct {
	writing   sync.Mutex // appends are processed one at a time
	records   []storedRecord
	producers map[string]*producer
}

type member struct {
	name    string
	expires time.Time
}

// store is the stand-in for the platform's log.
type store struct {
	world *world

	mu         sync.Mutex
	parts      map[string]*part
	members    []*member
	generation int64
	topics     []string
}

func newStore(w *world) *store { return &store{world: w, parts: map[string]*part{}} }

func (s *store) part(topic, number string) *part {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := topic + "/" + number
	if s.parts[name] == nil {
		s.parts[name] = &part{producers: map[string]*producer{}}
	}
	return s.parts[name]
}

// put writes a keyed record, as the operator and the workers do; a nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	p := s.part("keyed."+topic, "0")
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	p.records = append(p.records, storedRecord{raw: append(raw, data...), key: key, value: data, keyedValid: true})
}

// handler returns the store as one instance reaches it.
func (s *store) handler(n *node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mode := n.storeMode.Load().(storeMode)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if mode.silent {
			<-r.Context().Done()
			return
		}
		if mode.refuse {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(answerTime + mode.delay)
		s.serve(w, r, body, mode, n)
	})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte, mode storeMode, n *node) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, body, mode, n)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, q.Get("topic"), q.Get("part"), q.Get("after"))
	case "/log-join":
		s.join(w, body)
	case "/log-leave":
		s.leave(w, body)
	case "/log-owners":
		s.owners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func splitRecords(body []byte) []storedRecord {
	var list []storedRecord
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		raw := body[4 : 4+size]
		body = body[4+size:]
		k := int(raw[0])
		list = append(list, storedRecord{raw: raw, key: string(raw[1 : 1+k]), value: raw[1+k:], keyedValid: true})
	}
	return list
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte, mode storeMode, n *node) {
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	p := s.part(topic, q.Get("part"))
	p.writing.Lock()
	time.Sleep(appendTime)
	s.mu.Lock()
	status, reply := s.apply(p, q.Get("at"), q.Get("producer"), q.Get("epoch"), q.Get("sequence"), body)
	s.mu.Unlock()
	p.writing.Unlock()
	if mode.losesAnswers && len(body) > 0 {
		n.lostAnswers.Add(1)
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, reply)
}

// apply applies an append; the caller holds the lock.
func (s *store) apply(p *part, at, name, epochText, sequenceText string, body []byte) (int, map[string]any) {
	end := int64(len(p.records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	var of *producer
	sequence, _ := strconv.ParseInt(sequenceText, 10, 64)
	if epochText != "" {
		epoch, _ := strconv.ParseInt(epochText, 10, 64)
		if of = p.producers[name]; of == nil {
			of = &producer{epoch: -1}
			p.producers[name] = of
		}
		if status, reply, done := of.check(epoch, sequence, len(body) > 0, end); done {
			return status, reply
		}
	}
	p.records = append(p.records, splitRecords(body)...)
	if of != nil {
		of.fresh, of.next = false, sequence+1
		of.last = append(of.last, answered{sequence: sequence, offset: end, end: int64(len(p.records))})
		of.last = of.last[max(0, len(of.last)-lastKept):]
	}
	return http.StatusOK, map[string]any{"offset": end, "end": int64(len(p.records))}
}

// check applies the epoch and the sequence number of an append and reports whether that decides its answer.
func (p *producer) check(epoch, sequence int64, hasRecords bool, end int64) (int, map[string]any, bool) {
	if epoch < p.epoch {
		return http.StatusConflict, map[string]any{"reason": "fenced"}, true
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, fresh: true}
	}
	if !hasRecords {
		return http.StatusOK, map[string]any{"offset": end, "end": end}, true
	}
	for _, a := range p.last {
		if a.sequence == sequence {
			return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}, true
		}
	}
	if !p.fresh && sequence != p.next {
		return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next}, true
	}
	return 0, nil, false
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		limit = 1024
	}
	p := s.part(q.Get("topic"), q.Get("part"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := p.records
		s.mu.Unlock()
		if len(records) <= from && time.Now().Before(until) && r.Context().Err() == nil {
			time.Sleep(3 * time.Millisecond)
			continue
		}
		data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		data = binary.BigEndian.AppendUint64(data, 0)
		for i := from; i < len(records); i++ {
			if len(data)+len(records[i].raw) > limit<<10 {
				break
			}
			data = binary.BigEndian.AppendUint32(data, uint32(len(records[i].raw)))
			data = append(data, records[i].raw...)
		}
		_, _ = w.Write(data)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, topic, number, after string) {
	p := s.part(topic, number)
	s.mu.Lock()
	defer s.mu.Unlock()
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
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		value := p.records[last[key]].value
		if len(items) == pageItems || len(items) > 0 && size+len(value) > pageBytes {
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": last[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end": len(p.records)})
}

type joinBody struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMS  int      `json:"ttl_ms"`
}

// expire removes members whose time is over; the caller holds the lock.
func (s *store) expire() {
	before := len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m *member) bool { return time.Now().After(m.expires) })
	if len(s.members) != before {
		s.generation++
	}
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var b joinBody
	_ = json.Unmarshal(body, &b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.topics = b.Topics
	expires := time.Now().Add(time.Duration(b.TTLMS) * time.Millisecond)
	i := slices.IndexFunc(s.members, func(m *member) bool { return m.name == b.Member })
	if i < 0 {
		s.members = append(s.members, &member{name: b.Member, expires: expires})
		slices.SortFunc(s.members, func(x, y *member) int { return strings.Compare(x.name, y.name) })
		s.generation++
	} else {
		s.members[i].expires = expires
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": b.TTLMS, "parts": []any{}})
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var b joinBody
	_ = json.Unmarshal(body, &b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m *member) bool { return m.name == b.Member })
	s.generation++
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for t, topic := range s.topics {
		for i := range partCount {
			if len(s.members) > 0 {
				rows = append(rows, []any{topic, i, s.members[(t*partCount+i)%len(s.members)].name, 0})
			}
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"owners": rows})
}
