package main

import (
	"context"
	"os"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"currantport.example/core/links"
	"currantport.example/core/logs"
	"currantport.example/stand/internal/engine"
	"currantport.example/stand/internal/fleet"
	"currantport.example/stand/internal/plain"
	"currantport.example/stand/internal/store"
	"currantport.example/stand/internal/values"
)

// part is a stand-in.
type part interface {
	Register(r *mux.Router)
}

func build(s settings) fx.Option {
	return fx.Options(fx.Supply(s), fx.Provide(newLog, newPart), fx.Invoke(startServer))
}

func newLog(lc fx.Lifecycle, s settings) (*zap.Logger, error) {
	l, stop, err := logs.New(os.Stderr, logs.LevelInfo)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(stop))
	return l.With(zap.String("stand", string(s.Kind))), nil
}

// standIn is a part with its clean-up function, which ends the calls that wait.
type standIn struct {
	part
	stop func()
}

func newPart(s settings) standIn {
	switch s.Kind {
	case kindConfig:
		v, stop := values.New()
		return standIn{part: v, stop: stop}
	case kindFleet:
		return standIn{part: fleet.New(), stop: func() {}}
	case kindStore:
		return standIn{part: store.New(store.Options{Rate: int64(s.Rate), CallRate: s.Calls}), stop: func() {}}
	case kindPlain:
		return standIn{part: &plain.Service{}, stop: func() {}}
	}
	client, stop := links.NewClient(nil)
	e := engine.New(engine.Options{Fenced: s.Fenced == answerYes, TokenInterval: s.Token}, client)
	return standIn{part: e, stop: stop}
}

func startServer(lc fx.Lifecycle, s settings, p standIn, log *zap.Logger) error {
	r := mux.NewRouter()
	p.Register(r)
	l, err := links.Listen(context.Background(), s.Listen)
	if err != nil {
		return err
	}
	stop := links.Serve(l, r, log, stopTime)
	lc.Append(fx.StopHook(func() {
		p.stop()
		stop()
	}))
	return nil
}
