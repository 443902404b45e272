package edges_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"testing"
	"time"

	"currantport.example/core/edges"
	"currantport.example/core/tables"
)

// TestCompressedValueWithoutEndIsCutOff sends compressed members that are empty, without end.
func TestCompressedValueWithoutEndIsCutOff(t *testing.T) {
	var member bytes.Buffer
	if err := gzip.NewWriter(&member).Close(); err != nil {
		t.Fatal(err)
	}
	text := bytes.Repeat(member.Bytes(), 1<<10)
	taken := make(chan int, 1)
	base := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Revision", "7")
		w.Header().Set("Content-Encoding", "gzip")
		n := 0
		for {
			written, err := w.Write(text)
			if n += written; err != nil {
				taken <- n
				return
			}
		}
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := edges.NewConfig(http.DefaultClient, base).Read(ctx, tables.KindPools); err == nil || ctx.Err() != nil {
		t.Errorf("%v", err)
	}
	if n := <-taken; n > 16<<20 {
		t.Errorf("%d bytes were taken", n)
	}
}
