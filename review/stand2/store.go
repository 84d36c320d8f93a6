package main

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

type storedRecord struct {
	key   string
	value []byte
	raw   []byte
}

type partition struct {
	records  []storedRecord
	epoch    int64
	sequence int64
	recent   map[int64]int // offsets of the newest appends by sequence
}

type member struct {
	name      string
	topics    []string
	ttl       time.Duration
	renewedAt time.Time
}

// store is a stand-in for the platform's log that keeps all records.
type store struct {
	mu         sync.Mutex
	added      *sync.Cond
	partitions map[string]*partition
	members    map[string]*member
	generation int64
	onPut      func(topic, key string, value []byte) // called with the lock held for every record of the program
}

func newStore() *store {
	s := &store{partitions: map[string]*partition{}, members: map[string]*member{}}
	s.added = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.added.Broadcast()
		}
	}()
	return s
}

// put writes a record of a keyed topic, as operators and workers do. A nil value removes the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	s.partition("keyed."+topic, 0).add(key, data)
	s.mu.Unlock()
	s.added.Broadcast()
}

// newestValue returns the newest value of a key.
func (s *store) newestValue(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := ""
	for _, r := range s.partition("keyed."+topic, 0).records {
		if r.key == key {
			value = string(r.value)
		}
	}
	return value
}

func (s *store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p, ok := s.partitions[name]
	if !ok {
		p = &partition{recent: map[int64]int{}}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) add(key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	p.records = append(p.records, storedRecord{key: key, value: value, raw: append(raw, value...)})
}

// ServeHTTP answers one call of the program.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	status, body := http.StatusNotFound, []byte(nil)
	switch r.URL.Path {
	case "/log-append":
		status, body = s.append(r, q.Get("topic"), part)
	case "/log-read":
		status, body = s.read(r, q.Get("topic"), part)
	case "/log-newest":
		status, body = s.newest(q.Get("topic"), part, q.Get("after"))
	case "/log-join", "/log-leave":
		status, body = s.joinOrLeave(r)
	case "/log-owners":
		status, body = s.owners()
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) //nolint:gosec // not read by a browser
}

func jsonReply(status int, value any) (int, []byte) {
	data, _ := json.Marshal(value)
	return status, data
}

// checkWriter applies the epoch and the sequence of an append; it returns an answer if nothing is to be appended.
func (p *partition) checkWriter(r *http.Request, empty bool) (answered bool, status int, body []byte) {
	q := r.URL.Query()
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	switch {
	case epoch < p.epoch:
		status, body = jsonReply(http.StatusConflict, map[string]any{"reason": "fenced"})
		return true, status, body
	case epoch > p.epoch:
		p.epoch, p.sequence, p.recent = epoch, sequence, map[int64]int{}
	}
	if empty {
		return false, 0, nil
	}
	if offset, repeated := p.recent[sequence]; repeated {
		status, body = jsonReply(http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
		return true, status, body
	}
	if sequence != p.sequence {
		status, body = jsonReply(http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence})
		return true, status, body
	}
	p.recent[sequence] = len(p.records)
	delete(p.recent, sequence-5)
	p.sequence = sequence + 1
	return false, 0, nil
}

func (s *store) append(r *http.Request, topic string, part int) (int, []byte) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	q := r.URL.Query()
	if at, err := strconv.Atoi(q.Get("at")); err == nil && at != len(p.records) {
		return jsonReply(http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
	}
	if q.Has("epoch") {
		if answered, status, answer := p.checkWriter(r, len(body) == 0); answered {
			return status, answer
		}
	}
	offset := len(p.records)
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		row := body[4 : 4+n]
		k := int(row[0])
		key, value := string(row[1:1+k]), row[1+k:]
		p.add(key, value)
		if s.onPut != nil {
			s.onPut(topic, key, value)
		}
		body = body[4+n:]
	}
	s.added.Broadcast()
	return jsonReply(http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) read(r *http.Request, topic string, part int) (int, []byte) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	for len(p.records) <= from && time.Now().Before(until) && r.Context().Err() == nil {
		s.added.Wait()
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for i := from; i < len(p.records) && len(data) < 100_000; i++ {
		data = binary.BigEndian.AppendUint32(data, uint32(len(p.records[i].raw)))
		data = append(data, p.records[i].raw...)
	}
	return http.StatusOK, data
}

func (s *store) newest(topic string, part int, after string) (int, []byte) {
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
			"key": key, "value": base64.StdEncoding.EncodeToString(p.records[last[key]].value), "offset": last[key],
		})
	}
	return jsonReply(http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}

func (s *store) joinOrLeave(r *http.Request) (int, []byte) {
	var b struct {
		Member string
		Topics []string
		TTL    int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return http.StatusBadRequest, nil
	}
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
	return jsonReply(http.StatusOK, map[string]any{"generation": s.generation, "parts": s.partsOf(b.Member)})
}

func (s *store) expireMembers() {
	for name, m := range s.members {
		if time.Since(m.renewedAt) > m.ttl {
			delete(s.members, name)
			s.generation++
		}
	}
}

// deal deals the partitions of all topics, twelve each, evenly among the members; the caller holds the lock.
func (s *store) deal() [][]any {
	const parts = 12
	var names, topics []string
	for name, m := range s.members {
		names, topics = append(names, name), m.topics
	}
	sort.Strings(names)
	rows := [][]any{}
	if len(names) > 0 {
		for n := range parts * len(topics) {
			rows = append(rows, []any{topics[n/parts], n % parts, names[n%len(names)], 0})
		}
	}
	return rows
}

// partsOf returns the partitions of a member; the caller holds the lock.
func (s *store) partsOf(name string) [][]any {
	parts := [][]any{}
	for _, row := range s.deal() {
		if row[2] == name {
			parts = append(parts, []any{row[0], row[1], row[3]})
		}
	}
	return parts
}

func (s *store) owners() (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers()
	return jsonReply(http.StatusOK, s.deal())
}

// isWave reports whether a record of the status table is that of a wave.
func isWave(topic, key string) bool {
	return topic == "keyed.status" && strings.HasPrefix(key, "wave/")
}
