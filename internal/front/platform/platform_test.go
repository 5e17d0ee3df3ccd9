package platform

import (
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"cherryramp/internal/gateway"
	"cherryramp/internal/httpwire"
)

// alwaysReady reports that the front accepts clients.
func alwaysReady() (bool, string) { return true, "" }

// Guards requests with idempotency keys and sizes: both are passed on unchanged, a missing key
// or an invalid size is rejected with the name of the field, and other classes ignore the key.
func TestKeysAndSizes(t *testing.T) {
	f := New([]Class{{Name: "part", Index: 0}, {Name: "save", Index: 1, Write: true, Keyed: true}}, alwaysReady, slog.New(slog.NewTextHandler(io.Discard, nil)))
	read := func(method, target string, more ...httpwire.Field) (*gateway.Call, string) {
		r := &httpwire.Request{Method: method, Target: target, Header: append(httpwire.Header{{Name: "Req-Id", Value: "9b1f03aa5c7e2d41"},
			{Name: "Req-Wait-Ms", Value: "1500"}, {Name: "X-Bucket", Value: "17"}}, more...)}
		c, wrong := f.read(r, 0)
		if wrong != nil {
			return nil, wrong.Reason
		}
		return c, ""
	}
	token := httpwire.Field{Name: "Req-Token", Value: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
	c, fault := read("PUT", "/call/save/o", token, httpwire.Field{Name: "Req-Kb", Value: "412.5"})
	require.Empty(t, fault)
	require.Equal(t, token.Value, c.Token)
	require.Equal(t, 412.5, c.Size)
	_, fault = read("PUT", "/call/save/o")
	require.Contains(t, fault, "Req-Token")
	_, fault = read("PUT", "/call/save/o", httpwire.Field{Name: "Req-Token", Value: "a,b=c"})
	require.Contains(t, fault, "Req-Token")
	_, fault = read("PUT", "/call/save/o", token, token)
	require.Contains(t, fault, "twice")
	for _, bad := range []string{"x", "-1", "NaN", "+Inf", "1e300"} {
		_, fault = read("GET", "/call/part/o?seg=3", httpwire.Field{Name: "Req-Kb", Value: bad})
		require.Contains(t, fault, "Req-Kb", bad)
	}
	c, fault = read("GET", "/call/part/o?seg=3", token)
	require.Empty(t, fault)
	require.Empty(t, c.Token)
	require.Zero(t, c.Size)
}
