package yardwharf

import "time"

// This file meters each tenant's requests against its share with a token bucket that fills at the
// tenant's quota, over all dispatchers. A request that finds it empty is beyond the share. Where
// dispatchers tell each other how many requests they have taken for each tenant, every dispatcher
// counts all of them; otherwise each has an even part of the quota.

const quotaBurst = time.Second // the bucket holds the quota of this time

// tenant is the bucket of one tenant, with the counts exchanged with peers.
type tenant struct {
	tokens    float64
	refilled  time.Duration
	taken     byte   // requests taken here, modulo 256
	peerTaken []byte // the same for each peer, as it last reported
	peerHeard []bool
}

// refillTenant refills a tenant's bucket up to now.
func (b *Balancer) refillTenant(i int) *tenant {
	t := &b.tenants[i]
	quota := b.s.Tenants[i].Quota
	if !b.s.Peers {
		quota /= float64(b.s.Balancers)
	}
	if t.refilled == 0 {
		t.tokens = quota * quotaBurst.Seconds()
	}
	t.tokens = min(max(1, quota*quotaBurst.Seconds()), t.tokens+quota*(b.now-t.refilled).Seconds())
	t.refilled = b.now
	return t
}

// tenantFactor is the factor of a request's value by its tenant's share: 1 within the share. A
// request of an unknown tenant is always beyond it.
func (b *Balancer) tenantFactor(r *request) float64 {
	switch n := len(b.s.Tenants); {
	case n == 0:
		return 1
	case r.Tenant < 0 || r.Tenant >= n:
		return b.s.OverShareWorth
	}
	t := b.refillTenant(r.Tenant)
	t.taken++
	if t.tokens < 1 {
		return b.s.OverShareWorth
	}
	t.tokens--
	return 1
}

// appendTaken appends how many requests were taken for each tenant.
func (b *Balancer) appendTaken(buf []byte) []byte {
	for i := range b.tenants {
		buf = append(buf, b.tenants[i].taken)
	}
	return buf
}

// readTaken subtracts what a peer has taken since its last message from the buckets.
func (b *Balancer) readTaken(data []byte, peer int) {
	for i := range b.tenants {
		if i >= len(data) {
			return
		}
		t := b.refillTenant(i)
		for len(t.peerTaken) <= peer {
			t.peerTaken, t.peerHeard = append(t.peerTaken, 0), append(t.peerHeard, false)
		}
		if t.peerHeard[peer] { // else the peer is new or was silent for too long
			t.tokens = max(0, t.tokens-float64(data[i]-t.peerTaken[peer]))
		}
		t.peerTaken[peer], t.peerHeard[peer] = data[i], true
	}
}
