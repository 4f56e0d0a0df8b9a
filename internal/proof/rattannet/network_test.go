package rattannet

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestNetwork guards against fault injection without effect: a partitioned link
// must hold data, a healed one must deliver it, and a killed host must refuse
// connections.
func TestNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(time.Millisecond)
		listener, err := network.Listen("server:80")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: network.Dialer("client")}
		client := &http.Client{Transport: transport}
		get := func(timeout time.Duration) (time.Duration, error) {
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://server:80", nil)
			response, err := client.Do(request)
			if err != nil {
				return time.Since(start), err
			}
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			return time.Since(start), err
		}
		if took, err := get(time.Second); err != nil || took != 4*time.Millisecond {
			t.Errorf("dial and request took %s (%v), want 4 ms of latency", took, err)
		}
		network.Cut("server", "client")
		if _, err := get(time.Second); err == nil {
			t.Error("request succeeded over a link that is partitioned one way")
		}
		time.AfterFunc(time.Second, func() { network.Heal("server", "client") })
		if took, err := get(time.Minute); err != nil || took < time.Second {
			t.Errorf("request took %s (%v), want a response after the link was healed", took, err)
		}
		network.Kill("server")
		if _, err := get(time.Second); err == nil {
			t.Error("request to a killed host succeeded")
		}
		network.Revive("server")
		if _, err := get(time.Second); err != nil {
			t.Errorf("request to a revived host failed: %v", err)
		}
		_ = server.Close()
		transport.CloseIdleConnections()
	})
}
