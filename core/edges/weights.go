package edges

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/samber/oops"

	"currantport.example/core/chunks"
)

// Weights reads the weight store or the origin. It implements chunks.Source.
type Weights struct {
	client *http.Client
	base   url.URL
}

// NewWeights returns a client of the store or origin at the base URL.
func NewWeights(client *http.Client, base url.URL) *Weights {
	return &Weights{client: client, base: base}
}

// Manifest implements chunks.Source.
func (w *Weights) Manifest(ctx context.Context, digest chunks.Digest) ([]byte, error) {
	response, err := get(ctx, w.client, *w.base.JoinPath("v1", "manifests", digest.String()), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readAll(response.Body, chunks.MaxManifestBytes)
	return data, oops.In("edges").Wrap(err)
}

// Open implements chunks.Source.
func (w *Weights) Open(ctx context.Context, part chunks.Range) (io.ReadCloser, error) {
	u := *w.base.JoinPath("v1", "weights", part.Manifest.String(), part.Path)
	h := http.Header{"Range": {fmt.Sprintf("bytes=%d-%d", part.Offset, part.Offset+part.Length-1)}}
	response, err := get(ctx, w.client, u, h)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusPartialContent {
		_ = response.Body.Close()
		return nil, oops.In("edges").Wrap(fmt.Errorf("%w: whole file in response to a range request", ErrMalformed))
	}
	return response.Body, nil
}
