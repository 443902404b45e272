package gate

import (
	"connectrpc.com/connect"

	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/poison"
	"currantport.example/core/wire"
)

// replyStream writes the replies of one request in order.
type replyStream struct {
	id     string
	stream *connect.ServerStream[wire.RunReply]
	// corker holds replies back that are sent together with the next one.
	corker   *links.Corker
	sequence uint64
	bytes    uint64
}

func (r *replyStream) start(host hosts.Name, token string, response *dedup.Response, replayed bool) error {
	return r.send(&wire.RunReply{Step: &wire.RunReply_Started{Started: &wire.Started{
		Version: response.Version, Host: string(host), Status: int32(response.Status), Media: response.Media, Replayed: replayed, Token: token,
	}}})
}

func (r *replyStream) data(data []byte) error {
	r.bytes += uint64(len(data))
	return r.send(&wire.RunReply{Step: &wire.RunReply_Data{Data: data}})
}

// end sends the last reply. It is flushed with the end of the stream.
func (r *replyStream) end(running int32) error {
	r.corker.Cork()
	return r.send(&wire.RunReply{Step: &wire.RunReply_Ended{Ended: &wire.Ended{Bytes: r.bytes, Running: running}}})
}

func (r *replyStream) refuse(d dedup.Decision, marks ...poison.Mark) error {
	refusal := d.Refusal
	return r.send(&wire.RunReply{Step: &wire.RunReply_Refused{Refused: &wire.Refused{
		Outcome: string(refusal.Outcome), Reason: string(refusal.Reason), Detail: refusal.Detail, Wait: refusal.RetryAfter.Milliseconds(),
		Token: refusal.Token, Owner: string(d.Owner.Host), Marks: poison.Encode(marks),
	}}})
}

func (r *replyStream) replay(host hosts.Name, token string, response *dedup.Response) error {
	r.corker.Cork()
	if err := r.start(host, token, response, true); err != nil {
		return err
	}
	if err := r.data(response.Body); err != nil {
		return err
	}
	return r.end(0)
}

func (r *replyStream) send(m *wire.RunReply) error {
	m.Id = r.id
	m.Sequence = r.sequence
	r.sequence++
	return r.stream.Send(m)
}
