package shard

import (
	"fmt"
	"strings"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/pool"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// The store limits the size of a record and of a call. The progress of a job with many tasks that have had a run does not
// fit one record, so the rest of it is stored in parts, in the same call and before the record that counts them.

// partPrefix starts the keys of parts, which come before the keys of progress in the order of keys.
const partPrefix = "part/"

// Limits of the store where the settings name none.
const (
	defaultRecordBytes = 256 << 10
	defaultCallBytes   = 2 << 20
)

const (
	recordReserve = 512 // bytes of a record beside its value, and of a chunkedProgress beside First
	recordHeader  = 8   // bytes of a record in a call beside its key and value
)

// chunkedProgress is the value of a progress record whose rest is stored in parts. It is encoded as an array, and a whole
// Progress as a map.
type chunkedProgress struct {
	_     struct{} `cbor:",toarray"`
	Parts int
	First []byte
}

func partKey(name job.ID, number int) string { return fmt.Sprintf("%s%s/%d", partPrefix, name, number) }

// progressRecords returns the records that store the progress of a job, the parts first. No value is longer than limit bytes.
func progressRecords(s pool.StoredJob, limit int) ([]stream.Record, error) {
	data, err := cbor.Marshal(s.Progress)
	if err != nil {
		return nil, err
	}
	key := progressPrefix + string(s.ID)
	if len(data) <= limit {
		return []stream.Record{{Key: key, Value: data}}, nil
	}
	chunked := chunkedProgress{First: data[:limit]}
	var records []stream.Record
	for rest := data[limit:]; len(rest) > 0; rest = rest[min(limit, len(rest)):] {
		chunked.Parts++
		records = append(records, stream.Record{Key: partKey(s.ID, chunked.Parts), Value: rest[:min(limit, len(rest))]})
	}
	value, err := cbor.Marshal(chunked)
	return append(records, stream.Record{Key: key, Value: value}), err
}

// loadPart keeps a part until the record that counts it is loaded, and ignores other records.
func (s *Shard) loadPart(parts map[string][]byte, r stream.Record) {
	name, ok := strings.CutPrefix(r.Key, partPrefix)
	if !ok || len(r.Value) == 0 {
		return
	}
	parts[r.Key] = r.Value
	id, _, _ := strings.Cut(name, "/")
	s.partCounts[job.ID(id)]++
}

// joinParts returns the whole progress that a record and its parts hold. A record without parts is returned unchanged.
func (s *Shard) joinParts(parts map[string][]byte, name job.ID, value []byte) []byte {
	var chunked chunkedProgress
	if cbor.Unmarshal(value, &chunked) != nil {
		return value
	}
	data := chunked.First
	for n := 1; n <= chunked.Parts; n++ {
		part, ok := parts[partKey(name, n)]
		if !ok {
			s.config.Logger.Error("a part of stored job progress is missing", zap.String("job", string(name)), zap.Int("part", n))
		}
		data = append(data, part...)
	}
	return data
}

// recordLimit returns the most bytes of a record's value.
func (s *Shard) recordLimit() int {
	limit := s.config.Settings.RecordBytes
	if limit == 0 {
		limit = defaultRecordBytes
	}
	return limit - recordReserve
}

// splitCalls divides records among calls that the store takes. Parts stay in the call of the record that counts them.
func (s *Shard) splitCalls(records []stream.Record) [][]stream.Record {
	limit := s.config.Settings.CallBytes
	if limit == 0 {
		limit = defaultCallBytes
	}
	var calls [][]stream.Record
	var call, unit []stream.Record
	callBytes, unitBytes := 0, 0
	for _, r := range records {
		unit = append(unit, r)
		unitBytes += recordHeader + len(r.Key) + len(r.Value)
		if strings.HasPrefix(r.Key, partPrefix) && len(r.Value) > 0 {
			continue
		}
		if len(call) > 0 && callBytes+unitBytes > limit {
			calls = append(calls, call)
			call, callBytes = nil, 0
		}
		call, callBytes = append(call, unit...), callBytes+unitBytes
		unit, unitBytes = nil, 0
	}
	return append(calls, call)
}
