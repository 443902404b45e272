// Package manage implements the administration service of a process: status, audit
// trail, drain.
package manage

import (
	"context"

	"connectrpc.com/connect"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

// Self identifies the process, from its settings.
type Self struct {
	Host  hosts.Name
	Role  hosts.Role
	Place hosts.Place
}

// Drainer stops a process from accepting new requests.
type Drainer interface {
	// Drain starts draining. It may be called more than once. The cause is recorded in
	// the audit trail.
	Drain(cause string)
	// Leaving reports whether the process is draining.
	Leaving() bool
}

// Reporter adds fields to the status of a process.
type Reporter interface {
	Report(status *wire.StatusReply)
}

// Handler implements wire.AdminHandler.
type Handler struct {
	self      Self
	active    *tables.Active
	trail     *audit.Trail
	drainer   Drainer
	reporters []Reporter
}

// NewHandler returns the administration service of a process.
func NewHandler(self Self, active *tables.Active, trail *audit.Trail, drainer Drainer, reporters ...Reporter) *Handler {
	return &Handler{self: self, active: active, trail: trail, drainer: drainer, reporters: reporters}
}

// Status implements wire.AdminHandler.
func (h *Handler) Status(context.Context, *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusReply], error) {
	snapshot := h.active.Snapshot()
	s := &wire.StatusReply{
		Host: string(h.self.Host), Role: string(h.self.Role),
		Region: string(h.self.Place.Region), Domain: string(h.self.Place.Domain),
		Marks: []*wire.Mark{
			{Table: string(tables.KindRoutes), Revision: uint64(snapshot.Routes.Revision)},
			{Table: string(tables.KindPools), Revision: uint64(snapshot.Pools.Revision)},
		},
		Leaving: h.drainer.Leaving(),
	}
	for _, r := range h.reporters {
		r.Report(s)
	}
	return connect.NewResponse(s), nil
}

// Audit implements wire.AdminHandler.
func (h *Handler) Audit(_ context.Context, r *connect.Request[wire.AuditRequest]) (*connect.Response[wire.AuditReply], error) {
	reply := &wire.AuditReply{}
	for _, e := range h.trail.After(r.Msg.After) {
		reply.Entries = append(reply.Entries, messageOf(e))
	}
	return connect.NewResponse(reply), nil
}

// Drain implements wire.AdminHandler.
func (h *Handler) Drain(_ context.Context, r *connect.Request[wire.DrainRequest]) (*connect.Response[wire.DrainReply], error) {
	h.drainer.Drain(r.Msg.Cause)
	return connect.NewResponse(&wire.DrainReply{}), nil
}

func messageOf(e audit.Entry) *wire.AuditEntry {
	m := &wire.AuditEntry{
		Serial: e.Serial, Time: e.Time.UnixMilli(), Event: string(e.Event), Subject: e.Subject, Cause: e.Cause,
	}
	for _, f := range e.Fields {
		m.Facts = append(m.Facts, &wire.Fact{Name: f.Name, Value: f.Value})
	}
	return m
}
