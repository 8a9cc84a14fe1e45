package tlconfigure

import "trefoillanding/core/tlwire"

// Limits of the records that are buffered for peers.
const (
	maxRecent      = 512
	maxRecentBytes = 4 << 20
)

// recordBuffer holds the latest records of the log, without gaps, for peers that
// follow this instance.
type recordBuffer struct {
	records []tlwire.LogRecord
	bytes   int
}

func (r *recordBuffer) add(l tlwire.LogRecord) {
	if n := len(r.records); n > 0 && r.records[n-1].Offset+1 != l.Offset {
		*r = recordBuffer{}
	}
	r.records = append(r.records, l)
	r.bytes += len(l.Data)
	for len(r.records) > maxRecent || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

// from returns the records from an offset on, or false if that offset is no
// longer buffered.
func (r *recordBuffer) from(offset uint64) ([]tlwire.LogRecord, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, false
	}
	i := min(offset-r.records[0].Offset, uint64(len(r.records)))
	return r.records[i:], true
}
