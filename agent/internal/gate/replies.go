package gate

import (
	"connectrpc.com/connect"

	"currantport.example/core/blame"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/wire"
)

// replies writes the replies of one request in order.
type replies struct {
	id     string
	stream *connect.ServerStream[wire.RunReply]
	// hold keeps replies back that leave together with the next.
	hold     *links.Corker
	sequence uint64
	bytes    uint64
}

func (r *replies) start(host hosts.Name, token string, a *dedup.Response, replayed bool) error {
	return r.send(&wire.RunReply{Step: &wire.RunReply_Started{Started: &wire.Started{
		Version: a.Version, Host: string(host), Status: int32(a.Status), Media: a.Media, Replayed: replayed, Token: token,
	}}})
}

func (r *replies) data(data []byte) error {
	r.bytes += uint64(len(data))
	return r.send(&wire.RunReply{Step: &wire.RunReply_Data{Data: data}})
}

// end sends the last reply. It leaves with the end of the stream.
func (r *replies) end(running int32) error {
	r.hold.Cork()
	return r.send(&wire.RunReply{Step: &wire.RunReply_Ended{Ended: &wire.Ended{Bytes: r.bytes, Running: running}}})
}

func (r *replies) refuse(v dedup.Decision, marks ...blame.Mark) error {
	f := v.Refusal
	return r.send(&wire.RunReply{Step: &wire.RunReply_Refused{Refused: &wire.Refused{
		Outcome: string(f.Outcome), Reason: string(f.Reason), Detail: f.Detail, Wait: f.RetryAfter.Milliseconds(),
		Token: f.Token, Owner: string(v.Owner.Host), Marks: blame.Encode(marks),
	}}})
}

func (r *replies) replay(host hosts.Name, token string, a *dedup.Response) error {
	r.hold.Cork()
	if err := r.start(host, token, a, true); err != nil {
		return err
	}
	if err := r.data(a.Body); err != nil {
		return err
	}
	return r.end(0)
}

func (r *replies) send(m *wire.RunReply) error {
	m.Id = r.id
	m.Sequence = r.sequence
	r.sequence++
	return r.stream.Send(m)
}
