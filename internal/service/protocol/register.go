package protocol

import "yardwharf/internal/service/wirename"

func init() {
	wirename.Register("p",
		Append{}, AppendReply{}, EndBatch{}, EndBatchReply{}, Acquire{}, AcquireReply{}, FindEnds{}, FindEndsReply{},
		Renew{}, RenewReply{}, Release{}, ReleaseReply{}, Query{}, QueryReply{}, AskOwner{}, AskOwnerReply{},
		Accept{}, AcceptReply{}, Offer{}, OfferReply{}, TakeRate{}, TakeRateReply{},
		Retire{}, RetireReply{}, Reconcile{}, ReconcileReply{}, ListEntries{}, ListEntriesReply{}, AttemptsOver{}, AttemptsOverReply{},
	)
}
