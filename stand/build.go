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

// service is the HTTP interface of a fake.
type service interface {
	Register(r *mux.Router)
}

func build(s settings) fx.Option {
	return fx.Options(fx.Supply(s), fx.Provide(newLog, newFake), fx.Invoke(startServer))
}

func newLog(lc fx.Lifecycle, s settings) (*zap.Logger, error) {
	l, stop, err := logs.New(os.Stderr, logs.LevelInfo)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(stop))
	return l.With(zap.String("stand", string(s.Kind))), nil
}

// fakeService is a service with its clean-up function, which ends the calls in
// progress that wait for a change.
type fakeService struct {
	service
	stop func()
}

func newFake(s settings) fakeService {
	switch s.Kind {
	case kindConfig:
		v, stop := values.New()
		return fakeService{service: v, stop: stop}
	case kindFleet:
		return fakeService{service: fleet.New(), stop: func() {}}
	case kindStore:
		return fakeService{service: store.New(store.Options{Rate: int64(s.Rate), CallRate: s.CallRate}), stop: func() {}}
	case kindPlain:
		return fakeService{service: &plain.Service{}, stop: func() {}}
	}
	client, stop := links.NewClient(nil)
	e := engine.New(engine.Options{Fenced: s.Fenced == choiceYes, TokenInterval: s.TokenInterval}, client)
	return fakeService{service: e, stop: stop}
}

func startServer(lc fx.Lifecycle, s settings, f fakeService, log *zap.Logger) error {
	r := mux.NewRouter()
	f.Register(r)
	l, err := links.Listen(context.Background(), s.Listen)
	if err != nil {
		return err
	}
	stop := links.Serve(l, r, log, shutdownTimeout)
	lc.Append(fx.StopHook(func() {
		f.stop()
		stop()
	}))
	return nil
}
