package relay

import (
	"errors"

	"troutusher/internal/clock"
	"troutusher/internal/resp"
)

// A process that has handed over still has clients for a while. It forwards what they hand in to its
// successor, which decides about it and owns the log. Each process handles a client that leaves before it has its
// reply: the message is withdrawn, and the client is refused only once the successor has confirmed that.

// handoverPut is a message handed in by a client that is still connected to the predecessor.
type handoverPut struct {
	Record *record `json:"rec"`
	Body   []byte  `json:"body"`
}

// handoverReply is the reply to the client of a handoverPut.
type handoverReply struct {
	ID    string `json:"id"`
	Reply string `json:"reply"`
}

// handoverReplyWritten reports whether the client received the reply.
type handoverReplyWritten struct {
	ID      string `json:"id"`
	Written bool   `json:"ok"`
	// Confirm asks for a handoverWithdrawal where the reply was not written. Earlier releases do not set it, and close
	// the connection on a message that they do not know.
	Confirm bool `json:"confirm,omitempty"`
}

// handoverWithdrawal reports that a message whose client has left is withdrawn. Its reply is empty where the message
// could not be withdrawn since an earlier handoverReply has settled it.
type handoverWithdrawal handoverReply

var (
	errIDInUse      = errors.New("id is being handed in already")
	errSuccessorEnd = errors.New("the process that took the message has ended")
)

// forwardedPuts are the requests that a process that has handed over forwards to its successor. An id stays until the
// successor has refused its request, has been told that the client received the reply, or has confirmed the withdrawal.
type forwardedPuts struct {
	successor *peer
	gone      bool // the successor has ended
	byID      map[string]*forwardedPut
}

// forwardedPut is one forwarded request.
type forwardedPut struct {
	request     *putRequest
	replied     bool // the client's connection was given the successor's reply
	withdrawing bool // the client has left, and the successor has to confirm the withdrawal
}

// newForwardedPuts returns the requests forwarded to successor, none so far.
func newForwardedPuts(successor *peer) *forwardedPuts {
	return &forwardedPuts{successor: successor, byID: map[string]*forwardedPut{}}
}

// count returns the number of requests that are not settled.
func (f *forwardedPuts) count() int { return len(f.byID) }

// submit forwards a request.
func (f *forwardedPuts) submit(request *putRequest) {
	id := request.record.ID
	switch {
	case f.gone:
		request.sendReply(resp.Busy(shutdownRetryMS))
	case f.byID[id] != nil:
		request.sendReply(resp.Error(errIDInUse))
	default:
		f.byID[id] = &forwardedPut{request: request}
		f.successor.send(handoverMessage{Put: &handoverPut{request.record, request.record.body}})
	}
}

// replyReceived passes the successor's reply on to the client.
func (f *forwardedPuts) replyReceived(id, reply string) {
	put := f.byID[id]
	if put == nil || put.replied {
		return
	}
	put.replied = true
	put.request.sendReply(reply)
	if reply == resp.OK {
		return // the successor has to be told whether the client receives it
	}
	delete(f.byID, id)
	if put.withdrawing {
		put.request.finishWithdrawal("")
	}
}

// replyWritten tells the successor whether the client received its reply. Where it did not, the message is withdrawn.
func (f *forwardedPuts) replyWritten(request *putRequest, written bool) {
	id := request.record.ID
	put := f.byID[id]
	if put == nil || put.request != request {
		if !written { // another reply has settled the request
			request.finishWithdrawal("")
		}
		return
	}
	put.withdrawing = !written && f.successor.confirmsWithdrawals
	f.successor.send(handoverMessage{ReplyWritten: &handoverReplyWritten{id, written, put.withdrawing}})
	if put.withdrawing {
		return
	}
	delete(f.byID, id)
	if !written {
		request.finishWithdrawal(resp.Busy(0))
	}
}

// withdrawalConfirmed lets the refusal of a client that has left be written. An empty reply means that an earlier reply
// has settled the request.
func (f *forwardedPuts) withdrawalConfirmed(id, reply string) {
	put := f.byID[id]
	if put == nil || !put.withdrawing {
		return
	}
	delete(f.byID, id)
	put.request.finishWithdrawal(reply)
}

// successorGone answers the requests that the successor has not settled. Its log may hold their messages, and the next
// process then delivers them, so the replies must not allow the clients to hand the messages in again.
func (f *forwardedPuts) successorGone() {
	f.gone = true
	for id, put := range f.byID {
		delete(f.byID, id)
		reply := resp.Error(errSuccessorEnd)
		if put.withdrawing {
			put.request.finishWithdrawal(reply)
		} else if !put.replied {
			put.request.sendReply(reply)
		}
	}
}

// admitForwarded passes a request of a client of the predecessor to the policy.
func (r *Relay) admitForwarded(p *peer, put *handoverPut) {
	rec := put.Record
	rec.Kind, rec.body = recordAccepted, put.Body
	now := clock.Read(r.clock)
	if conversion := p.logClock.convert(now); !conversion.SameClock {
		rec.convert(conversion, now.Now)
	}
	req := &putRequest{record: rec}
	req.forward = func(reply string) {
		r.inbox.put(event{forwarded: req, reply: reply})
		p.send(handoverMessage{Reply: &handoverReply{rec.ID, reply}})
	}
	p.pendingPuts[rec.ID] = req
	r.admit(req)
}

// forwardedReplyWritten handles the predecessor's report on the reply to a forwarded request.
func (r *Relay) forwardedReplyWritten(p *peer, report *handoverReplyWritten) {
	req := p.pendingPuts[report.ID]
	delete(p.pendingPuts, report.ID)
	confirm := func(reply string) {
		if report.Confirm {
			p.send(handoverMessage{Withdrawn: &handoverWithdrawal{report.ID, reply}})
		}
	}
	if req == nil { // it was refused
		confirm("")
		return
	}
	req.forwardWithdrawal = confirm
	r.replyWritten(req, report.Written)
}
