package yardwharf

import "time"

// This file books what each tenant asks for against its share: a bucket that fills at the
// tenant's quota, over all dispatchers. What finds it empty is beyond the share. Where
// dispatchers tell each other how many messages they have taken for whom, all count at
// each; elsewhere each dispatcher has an even part of the quota.

const quotaSpan = time.Second // of the quota that a bucket holds

// tenant is what is booked for one.
type tenant struct {
	left  float64
	at    time.Duration
	taken byte   // messages taken here, turning over
	told  []byte // the same of each peer, as last told
	heard []bool
}

// refill brings a bucket up to date.
func (b *Balancer) refill(i int) *tenant {
	t := &b.tenants[i]
	quota := b.s.Tenants[i].Quota
	if !b.s.Peers {
		quota /= float64(b.s.Balancers)
	}
	if t.at == 0 {
		t.left = quota * quotaSpan.Seconds()
	}
	t.left = min(max(1, quota*quotaSpan.Seconds()), t.left+quota*(b.now-t.at).Seconds())
	t.at = b.now
	return t
}

// share is what a message counts for by its tenant's share: 1 within it. One of a tenant
// that the site does not know has none.
func (b *Balancer) share(r *request) float64 {
	switch n := len(b.s.Tenants); {
	case n == 0:
		return 1
	case r.Tenant < 0 || r.Tenant >= n:
		return b.s.OverShareWorth
	}
	t := b.refill(r.Tenant)
	t.taken++
	if t.left < 1 {
		return b.s.OverShareWorth
	}
	t.left--
	return 1
}

// appendTaken writes how many messages were taken for each tenant.
func (b *Balancer) appendTaken(buf []byte) []byte {
	for i := range b.tenants {
		buf = append(buf, b.tenants[i].taken)
	}
	return buf
}

// readTaken books what a peer has taken since it last told.
func (b *Balancer) readTaken(data []byte, peer int) {
	for i := range b.tenants {
		if i >= len(data) {
			return
		}
		t := b.refill(i)
		for len(t.told) <= peer {
			t.told, t.heard = append(t.told, 0), append(t.heard, false)
		}
		if t.heard[peer] { // else it has just begun, or was lost for long
			t.left = max(0, t.left-float64(data[i]-t.told[peer]))
		}
		t.told[peer], t.heard[peer] = data[i], true
	}
}
