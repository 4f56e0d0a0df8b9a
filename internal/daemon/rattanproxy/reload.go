package rattanproxy

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rattanstream/rattanstream/internal/config/rattansettings"
)

// settingsInterval separates two reads of the settings file, which may change
// without a signal.
const settingsInterval = 5 * time.Second

// A Reload reads the settings again.
type Reload func() (*rattansettings.ProxySettings, error)

// watchSettings applies changed settings, at once after SIGHUP.
func (p *Proxy) watchSettings(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	current := p.settings
	for {
		isSignalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			isSignalled = true
		case <-p.clock.After(settingsInterval):
		}
		next, err := p.reload()
		if err != nil {
			p.logger.Error("reload_failed", "error", err)
			continue
		}
		needsRestart := current.RestartRequired(next)
		if isSignalled || len(needsRestart) > 0 || next.LogLevel() != current.LogLevel() {
			p.logger.Info("reload", "log_level", next.LogLevel(), "needs_restart", needsRestart)
		}
		if level, err := log.ParseLevel(next.LogLevel()); err == nil {
			p.logger.SetLevel(level)
		}
		current = next
	}
}
