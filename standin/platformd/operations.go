package platformd

import (
	"context"
	"time"

	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
)

func (s *Server) get(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	e, err := s.store.Get(ctx, in.Key)
	return httpkv.Response{Entries: []platform.Entry{e}}, err
}

func (s *Server) list(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	es, err := s.store.List(ctx, in.Key)
	return httpkv.Response{Entries: es}, err
}

func (s *Server) swap(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	rev, err := s.store.CompareAndSwap(ctx, in.Key, in.Value, in.PrevRevision, in.Lease)
	return httpkv.Response{Revision: rev}, err
}

func (s *Server) remove(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	return httpkv.Response{}, s.store.Delete(ctx, in.Key, in.PrevRevision)
}

func (s *Server) grant(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	id, err := s.store.Grant(ctx, time.Duration(in.TTLMillis)*time.Millisecond)
	return httpkv.Response{Lease: id}, err
}

func (s *Server) keepAlive(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	return httpkv.Response{}, s.store.KeepAlive(ctx, in.Lease)
}

func (s *Server) revoke(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	return httpkv.Response{}, s.store.Revoke(ctx, in.Lease)
}

// maxWatch bounds a watch whose caller is gone, which the server cannot see.
const maxWatch = time.Minute

func (s *Server) watch(_ context.Context, in *httpkv.Request) (httpkv.Response, error) {
	wait := min(maxWatch, time.Duration(in.WaitMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(s.Context(), wait)
	defer cancel()
	es, rev, err := s.store.Watch(ctx, in.Key, in.AfterRevision)
	return httpkv.Response{Entries: es, Revision: rev}, err
}

func (s *Server) listHosts(context.Context, *httpkv.Request) (httpkv.Response, error) {
	return httpkv.Response{Endpoints: s.visibleHosts()}, nil
}

func (s *Server) reserveWeights(context.Context, *httpkv.Request) (httpkv.Response, error) {
	return httpkv.Response{TransferMillis: s.reserve().Milliseconds()}, nil
}
