package protocol

import "encoding/gob"

func init() {
	for _, message := range []any{
		Append{}, AppendReply{}, EndBatch{}, EndBatchReply{}, Acquire{}, AcquireReply{}, FindEnds{}, FindEndsReply{},
		Renew{}, RenewReply{}, Release{}, ReleaseReply{}, Query{}, QueryReply{}, AskOwner{}, AskOwnerReply{},
		Accept{}, AcceptReply{}, Offer{}, OfferReply{}, TakeRate{}, TakeRateReply{},
		Retire{}, RetireReply{}, Reconcile{}, ReconcileReply{}, ListEntries{}, ListEntriesReply{},
	} {
		gob.Register(message)
	}
}
