package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store, as in the settings and site files of a small deployment.
const (
	storeParts   = 12
	storeAnswer  = 4 * time.Millisecond
	recordBytes  = 262144
	callBytes    = 2097152
	pageItems    = 500
	maxReadWait  = 30 * time.Second
	repeatWindow = 5 // newest appends of a producer whose repetition gets the first response again
)

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
	raw   []byte // as it was appended, without its length
}

// producer is the state of one producer in one partition.
type producer struct {
	epoch   int64
	next    int64 // sequence number that has to come next
	started bool  // whether the epoch has a sequence yet
	recent  map[int64]appendReply
}

type appendReply struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

type partition struct {
	records   []record
	producers map[string]*producer
}

type member struct {
	name      string
	topics    []string
	ttl       time.Duration
	renewedAt time.Time
}

// share is one partition of a group's topics.
type share struct {
	topic string
	part  int
}

type group struct {
	members    map[string]*member
	holders    map[share]string
	generation int64
}

// store is the platform's log service.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	parts   map[string]*partition
	groups  map[string]*group
	refused int // appends refused because of their size
}

func newStore() *store {
	s := &store{parts: map[string]*partition{}, groups: map[string]*group{}}
	s.changed = sync.NewCond(&s.mu)
	go s.wake()
	return s
}

// wake lets waiting reads notice that their wait is over.
func (s *store) wake() {
	for range time.Tick(10 * time.Millisecond) {
		s.changed.Broadcast()
	}
}

// part returns a partition; the caller holds the lock.
func (s *store) part(topic string, number int) *partition {
	name := fmt.Sprintf("%s/%d", topic, number)
	p, ok := s.parts[name]
	if !ok {
		p = &partition{producers: map[string]*producer{}}
		s.parts[name] = p
	}
	return p
}

func (p *partition) add(key string, value []byte) {
	raw := append([]byte{byte(len(key))}, key...)
	p.records = append(p.records, record{key: key, value: value, raw: append(raw, value...)})
}

// put writes a record as the operator or a worker does; a nil value removes the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	s.part("keyed."+topic, 0).add(key, data)
	s.mu.Unlock()
	s.changed.Broadcast()
}

// newestValue returns the newest value of a key, or nil.
func (s *store) newestValue(topic string, number int, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.part("keyed."+topic, number).records
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].key == key {
			return records[i].value
		}
	}
	return nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.route(r)
	time.Sleep(storeAnswer)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) route(r *http.Request) (int, []byte) {
	q := r.URL.Query()
	number, _ := strconv.Atoi(q.Get("part"))
	topic := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		return s.append(r, topic, number)
	case "GET /log-read":
		return s.read(r, topic, number)
	case "GET /log-newest":
		return s.newest(topic, number, q.Get("after"))
	case "POST /log-join", "POST /log-leave":
		return s.joinOrLeave(r)
	case "GET /log-owners":
		return s.owners(q.Get("group"))
	}
	return http.StatusNotFound, []byte("{}")
}

func reply(status int, value any) (int, []byte) {
	data, _ := json.Marshal(value)
	return status, data
}

// splitRecords returns the raw records of the body of an append, or false if the body or a record is malformed or too
// long.
func splitRecords(body []byte) ([][]byte, bool) {
	var list [][]byte
	total := 0
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 || n < 1 || int(body[4])+1 > n {
			return nil, false
		}
		list = append(list, body[4:4+n])
		total += n
		body = body[4+n:]
	}
	return list, total <= callBytes
}

func (s *store) append(r *http.Request, topic string, number int) (int, []byte) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, []byte("{}")
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		return http.StatusForbidden, []byte("{}")
	}
	rows, ok := splitRecords(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok {
		s.refused++
		return http.StatusBadRequest, []byte("{}")
	}
	p := s.part(topic, number)
	q := r.URL.Query()
	if at, err := strconv.Atoi(q.Get("at")); err == nil && at != len(p.records) {
		return reply(http.StatusPreconditionFailed, map[string]int{"end": len(p.records)})
	}
	var sequence int64
	var from *producer
	if q.Has("producer") {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(q.Get("sequence"), 10, 64)
		from = p.producer(q.Get("producer"))
		if epoch < from.epoch {
			return reply(http.StatusConflict, map[string]string{"reason": "fenced"})
		}
		if epoch > from.epoch {
			*from = producer{epoch: epoch, recent: map[int64]appendReply{}}
		}
		if len(rows) > 0 {
			if first, again := from.recent[sequence]; again {
				return reply(http.StatusOK, first)
			}
			if from.started && sequence != from.next {
				return reply(http.StatusConflict, map[string]any{"reason": "seq", "sequence": from.next})
			}
		}
	}
	answer := appendReply{Offset: len(p.records)}
	for _, row := range rows {
		k := int(row[0])
		p.add(string(row[1:1+k]), row[1+k:])
	}
	answer.End = len(p.records)
	if from != nil && len(rows) > 0 {
		from.started, from.next = true, sequence+1
		from.recent[sequence] = answer
		delete(from.recent, sequence-repeatWindow)
	}
	s.changed.Broadcast()
	return reply(http.StatusOK, answer)
}

func (p *partition) producer(name string) *producer {
	from, ok := p.producers[name]
	if !ok {
		from = &producer{epoch: -1, recent: map[int64]appendReply{}}
		p.producers[name] = from
	}
	return from
}

func (s *store) read(r *http.Request, topic string, number int) (int, []byte) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(min(maxReadWait, time.Duration(wait)*time.Millisecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	for len(p.records) <= from && time.Now().Before(until) && r.Context().Err() == nil {
		s.changed.Wait()
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for i := from; i < len(p.records) && len(data) < 1<<20; i++ {
		data = binary.BigEndian.AppendUint32(data, uint32(len(p.records[i].raw)))
		data = append(data, p.records[i].raw...)
	}
	return http.StatusOK, data
}

func (s *store) newest(topic string, number int, after string) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
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
		value := base64.StdEncoding.EncodeToString(p.records[last[key]].value)
		items = append(items, map[string]any{"key": key, "value": value, "offset": last[key]})
	}
	return reply(http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(p.records)})
}

func (s *store) joinOrLeave(r *http.Request) (int, []byte) {
	var b struct {
		Group  string   `json:"group"`
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int64    `json:"ttl_ms"`

		Generation int64 `json:"generation"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return http.StatusBadRequest, []byte("{}")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(b.Group)
	if strings.HasSuffix(r.URL.Path, "leave") {
		g.drop(b.Member)
		return reply(http.StatusOK, map[string]any{})
	}
	if g.members[b.Member] == nil {
		g.generation++
	}
	g.members[b.Member] = &member{name: b.Member, topics: b.Topics, ttl: time.Duration(b.TTL) * time.Millisecond, renewedAt: time.Now()}
	g.distribute(b.Member, b.Generation)
	own := [][]any{}
	for _, row := range g.rows() {
		if row[2] == b.Member {
			own = append(own, []any{row[0], row[1], 0})
		}
	}
	return reply(http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": b.TTL, "parts": own})
}

// group returns a group without the members whose time to live is over; the caller holds the lock.
func (s *store) group(name string) *group {
	g, ok := s.groups[name]
	if !ok {
		g = &group{members: map[string]*member{}, holders: map[share]string{}}
		s.groups[name] = g
	}
	for name, m := range g.members {
		if time.Since(m.renewedAt) > m.ttl {
			g.drop(name)
		}
	}
	return g
}

// drop removes a member, whose partitions are free at once.
func (g *group) drop(name string) {
	if g.members[name] == nil {
		return
	}
	delete(g.members, name)
	g.generation++
	for at, holder := range g.holders {
		if holder == name {
			delete(g.holders, at)
		}
	}
	g.distribute("", 0)
}

// distribute gives free partitions to the members that an even distribution names. A member that has joined with the
// newest generation gives up those that are no longer its own.
func (g *group) distribute(joined string, generation int64) {
	var names, topics []string
	for name, m := range g.members {
		names = append(names, name)
		for _, t := range m.topics {
			if !slices.Contains(topics, t) {
				topics = append(topics, t)
			}
		}
	}
	sort.Strings(names)
	sort.Strings(topics)
	if len(names) == 0 {
		return
	}
	n := 0
	for _, t := range topics {
		for part := range storeParts {
			at, due := share{topic: t, part: part}, names[n%len(names)]
			n++
			if holder := g.holders[at]; holder == "" || holder == joined && generation >= g.generation {
				g.holders[at] = due
			}
		}
	}
}

// rows returns topic, partition, member and offset of each partition.
func (g *group) rows() [][]any {
	rows := [][]any{}
	for at, holder := range g.holders {
		rows = append(rows, []any{at.topic, at.part, holder, 0})
	}
	sort.Slice(rows, func(i, j int) bool { return fmt.Sprint(rows[i]) < fmt.Sprint(rows[j]) })
	return rows
}

func (s *store) owners(name string) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return reply(http.StatusOK, map[string]any{"owners": s.group(name).rows()})
}
