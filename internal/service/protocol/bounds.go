package protocol

import "github.com/zeebo/errs"

// Class is the error class of this package.
var Class = errs.Class("protocol")

// Bounds of the values that enter the service from outside and travel in its messages. The process that reads such a value
// checks it; the processes that it is passed on to check it by the same bounds.
const (
	MaxNameBytes  = 256      // of a message's ID or a queue's name
	MaxFieldBytes = 16 << 10 // of each other text of a message, such as its target or the seal of its success
)

// Check returns an error if a store cannot keep the head.
func (h *Head) Check() error {
	if err := CheckName("id", h.ID); err != nil {
		return err
	}
	if err := CheckName("queue", h.Queue); err != nil {
		return err
	}
	for _, field := range [...]string{h.Method, h.Host, h.Target, h.ContentType, h.OrderingKey, h.CallbackURL, h.Stamp} {
		if len(field) > MaxFieldBytes {
			return Class.New("message %s: a field has %d bytes", h.ID, len(field))
		}
	}
	return nil
}

// Check returns an error if a store cannot record the end.
func (e *End) Check() error {
	if err := CheckName("id", e.ID); err != nil {
		return err
	}
	if len(e.Queue) > MaxNameBytes {
		return Class.New("end of message %s: queue of %d bytes", e.ID, len(e.Queue))
	}
	if !e.State.Ended() || len(e.Stamp) > MaxFieldBytes {
		return Class.New("end of message %s: state %d, stamp of %d bytes", e.ID, e.State, len(e.Stamp))
	}
	return nil
}

// CheckName returns an error if the ID of a message or the name of a queue is empty or too long.
func CheckName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return Class.New("%s of %d bytes", field, len(name))
	}
	return nil
}
