// Package wire holds the messages between the processes of the system, and the
// clients and handlers generated from wire.proto and mesh.proto.
//
// Domain types have no wire tags; each package converts its own types by hand.
package wire
