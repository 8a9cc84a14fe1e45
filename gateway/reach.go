package gateway

import (
	"time"

	"trefoillanding/io/tlprober"
	"trefoillanding/io/tlrandom"
)

func (i *Instance) proberOptions() tlprober.Options {
	return tlprober.Options{
		Endpoints: i.directory.InUse,
		IsDoubted: i.directory.IsFailing,
		Dial:      i.sender.Dial,
		QuietFor:  i.sender.QuietFor,
		OnChange:  func(bool) { i.sender.DropIdle() },
		Now:       time.Now,
		Random:    tlrandom.New(),
		Log:       i.log,
		Count:     i.counters.reach.Count,
	}
}
