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
	entries, err := s.store.List(ctx, in.Key)
	return httpkv.Response{Entries: entries}, err
}

func (s *Server) compareAndSwap(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
	rev, err := s.store.CompareAndSwap(ctx, in.Key, in.Value, in.PrevRevision, in.Lease)
	return httpkv.Response{Revision: rev}, err
}

func (s *Server) deleteKey(ctx context.Context, in *httpkv.Request) (httpkv.Response, error) {
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

// maxWatchTime limits a watch. The server can't detect that the caller of a waiting
// watch has disconnected.
const maxWatchTime = time.Minute

func (s *Server) watch(_ context.Context, in *httpkv.Request) (httpkv.Response, error) {
	wait := min(maxWatchTime, time.Duration(in.WaitMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(s.Context(), wait)
	defer cancel()
	entries, rev, err := s.store.Watch(ctx, in.Key, in.AfterRevision)
	return httpkv.Response{Entries: entries, Revision: rev}, err
}

func (s *Server) listEndpoints(context.Context, *httpkv.Request) (httpkv.Response, error) {
	return httpkv.Response{Endpoints: s.visibleEndpoints()}, nil
}

func (s *Server) reserveWeightTransfer(context.Context, *httpkv.Request) (httpkv.Response, error) {
	return httpkv.Response{TransferMillis: s.reserveTransfer().Milliseconds()}, nil
}
