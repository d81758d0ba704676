package protocol

import "yardwharf/internal/service/wirename"

func init() {
	wirename.Register("p",
		Append{}, AppendReply{}, EndBatch{}, EndBatchReply{}, Acquire{}, AcquireReply{}, FindEnds{}, FindEndsReply{},
		Renew{}, RenewReply{}, Release{}, ReleaseReply{}, Query{}, QueryReply{}, CheckOwner{}, CheckOwnerReply{},
		Accept{}, AcceptReply{}, Offer{}, OfferReply{}, AcquirePermits{}, AcquirePermitsReply{},
		Retire{}, RetireReply{}, Reconcile{}, ReconcileReply{}, ListEntries{}, ListEntriesReply{}, ReportOutcomes{}, ReportOutcomesReply{},
		Relinquish{}, RelinquishReply{}, ReadHeads{}, ReadHeadsReply{},
		KeepAttempts{}, KeepAttemptsReply{}, ReadAttempts{}, ReadAttemptsReply{}, Relay{}, RelayReply{}, CancelRelay{}, CancelRelayReply{},
	)
}
