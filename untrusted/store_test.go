package untrusted

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePollInterval is how often a waiting read looks for new records.
const storePollInterval = 20 * time.Millisecond

type record struct {
	key   string
	value []byte
	raw   []byte
}

type partition struct {
	records         []record
	epoch, sequence int64
}

func (p *partition) add(key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	p.records = append(p.records, record{key: key, value: value, raw: append(raw, value...)})
}

// store is a stand-in for the platform's log with a group of members that never expire. It implements http.Handler.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	members    map[string][]string // topics by name
	generation int
}

func newStore() *store {
	return &store{partitions: map[string]*partition{}, members: map[string][]string{}}
}

// put writes a record of a keyed topic, as operators do.
func (s *store) put(topic, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition("keyed."+topic, "0").add(key, data)
}

func (s *store) partition(topic, part string) *partition {
	name := topic + "/" + part
	if s.partitions[name] == nil {
		s.partitions[name] = &partition{}
	}
	return s.partitions[name]
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, body)
	case "/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		_, _ = w.Write(s.read(r, from, time.Duration(wait)*time.Millisecond))
	case "/log-newest":
		s.newest(w, q.Get("topic"), q.Get("part"), q.Get("after"))
	case "/log-join", "/log-leave":
		s.joinOrLeave(w, r.URL.Path, body)
	case "/log-owners":
		s.owners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	p := s.partition(q.Get("topic"), q.Get("part"))
	if at, err := strconv.Atoi(q.Get("at")); err == nil && at != len(p.records) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	if q.Has("epoch") {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		switch {
		case epoch < p.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > p.epoch:
			p.epoch, p.sequence = epoch, sequence
		case len(body) > 0 && sequence != p.sequence:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence})
			return
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
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) read(r *http.Request, from int, wait time.Duration) []byte {
	q := r.URL.Query()
	for until := time.Now().Add(wait); ; time.Sleep(storePollInterval) {
		s.mu.Lock()
		records := s.partition(q.Get("topic"), q.Get("part")).records
		s.mu.Unlock()
		if len(records) <= from && time.Now().Before(until) && r.Context().Err() == nil {
			continue
		}
		data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		data = binary.BigEndian.AppendUint64(data, 0)
		for i := from; i < len(records) && len(data) < 900_000; i++ {
			data = binary.BigEndian.AppendUint32(data, uint32(len(records[i].raw)))
			data = append(data, records[i].raw...)
		}
		return data
	}
}

// Bounds on one page of the newest records.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// newest answers with one page of the newest records of the keys after the given one.
func (s *store) newest(w http.ResponseWriter, topic, part, after string) {
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

func (s *store) joinOrLeave(w http.ResponseWriter, path string, body []byte) {
	var b struct {
		Member string
		Topics []string
	}
	if err := json.Unmarshal(body, &b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if path == "/log-leave" {
		delete(s.members, b.Member)
		s.generation++
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	if s.members[b.Member] == nil {
		s.generation++
	}
	s.members[b.Member] = b.Topics
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": []any{}})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for name, topics := range s.members {
		rows = append(rows, []any{strings.Join(topics, ","), len(rows), name, 0})
	}
	writeJSON(w, http.StatusOK, rows)
}
