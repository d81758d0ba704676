package protocol

// HeadCursor is a position in a store's list of the heads of a queue: open messages first, then ended ones, each in the
// order in which they were added. The zero value is the beginning.
type HeadCursor struct {
	InEnded bool   // the position is among the ended messages
	After   uint64 // number of the last entry before the position
}

// ReadHeads asks a store for the heads of a queue after those that a grant of the same lease listed.
type ReadHeads struct {
	Queue string
	Epoch uint64 // of the lease; the store refuses if the caller does not hold it
	From  HeadCursor
}

// ReadHeadsReply answers ReadHeads.
type ReadHeadsReply struct {
	StoreID string
	Heads   []Head
	More    bool // there are heads after these
	Next    HeadCursor
}

// FindEnds asks a store which of these messages it knows to have ended: a grant lists only those that
// ended recently.
type FindEnds struct {
	IDs   []string
	Paged bool // the caller asks again for the IDs that the reply does not cover
}

// FindEndsReply answers FindEnds with the heads of the ended messages.
type FindEndsReply struct {
	Heads   []Head
	Covered int // with Paged: number of the request's IDs, from the first one, that the reply covers; 0: all
}

// maxFixedBytes bounds the encoded size of the fields of a head or an attempt that are not strings, with the lengths
// of those that are.
const maxFixedBytes = 300

// MaxEncodedBytes returns an upper bound of the head's size in a frame.
func (h *Head) MaxEncodedBytes() int {
	return maxFixedBytes + len(h.ID) + len(h.Queue) + len(h.Method) + len(h.Host) + len(h.Target) +
		len(h.ContentType) + len(h.OrderingKey) + len(h.CallbackURL) + len(h.Stamp)
}
