package relay

import (
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/entry/admit"
)

// encodeLoad adds the load to a reply. Without an overload it adds nothing.
func encodeLoad(resp *HelloReply, f *admit.Figures) {
	if f == nil {
		return
	}
	resp.Vms = int32(f.VMs)
	for i := range f.Queues {
		q := &f.Queues[i]
		resp.QueueLoads = append(resp.QueueLoads, &QueueLoad{
			Name: q.Name, AheadMs: encodeWaits(q.Ahead),
			CpuMilli: q.Capacity.CPUMilli(), MemoryMib: q.Capacity.MemoryMiB(), Accelerators: q.Capacity.Accelerators(),
			ShortestMs: q.ShortestMS, LongestMs: q.LongestMS,
		})
	}
	for _, a := range f.Accounts {
		resp.AccountLoads = append(resp.AccountLoads, &AccountLoad{Name: a.Name, Rate: a.Rate})
	}
}

// decodeLoad returns the load in a reply, or nil without one. An owner of an earlier build
// sends none.
func decodeLoad(resp *HelloReply) *admit.Figures {
	if len(resp.GetQueueLoads()) == 0 {
		return nil
	}
	f := &admit.Figures{Owner: resp.GetName(), VMs: int(resp.GetVms())}
	for _, q := range resp.GetQueueLoads()[:min(len(resp.GetQueueLoads()), admit.MaxQueues)] {
		f.Queues = append(f.Queues, admit.Queue{
			Name: q.GetName(), Ahead: decodeWaits(q.GetAheadMs()),
			Capacity: amount.New(q.GetCpuMilli(), q.GetMemoryMib(), q.GetAccelerators(), 0), ShortestMS: q.GetShortestMs(), LongestMS: q.GetLongestMs(),
		})
	}
	for _, a := range resp.GetAccountLoads()[:min(len(resp.GetAccountLoads()), admit.MaxAccounts)] {
		f.Accounts = append(f.Accounts, admit.Account{Name: a.GetName(), Rate: a.GetRate()})
	}
	return f
}

// encodeWaits converts waits to milliseconds.
func encodeWaits(w admit.Waits) []int64 {
	out := make([]int64, len(w))
	for i, d := range w {
		out[i] = d.Milliseconds()
	}
	return out
}

// decodeWaits converts the waits of a reply. Missing ones are 0, so that nothing is refused
// for them.
func decodeWaits(ms []int64) admit.Waits {
	var w admit.Waits
	for i := range min(len(ms), len(w)) {
		w[i] = time.Duration(ms[i]) * time.Millisecond
	}
	return w
}
