package edge

import (
	"context"
	"os"
	"time"

	"github.com/arbutusgauge/arbutusgauge/platform"
)

// settingsCheckInterval is the time between two reads of the settings file, which
// may change without a signal.
const settingsCheckInterval = 5 * time.Second

// watchSettings reads the settings file after a signal and periodically until ctx
// ends. The settings that may change while the process runs are the budget of
// retries and hedges, which is applied, and the seeds, which are only used at the
// start. A file that can't be read changes nothing.
func (h *Host) watchSettings(ctx context.Context, settingsChanged <-chan os.Signal) error {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-settingsChanged:
			signalled = true
		case <-ticker.C:
		}
		h.reloadSettings(signalled)
	}
}

// reloadSettings reads the settings file and applies a changed budget. signalled
// says whether a signal asked for it.
func (h *Host) reloadSettings(signalled bool) {
	next, err := platform.LoadSettings(h.settings.Path)
	if err != nil {
		h.log.WithError(err).Error("changed settings refused")
		return
	}
	logger := h.log.WithField("signalled", signalled)
	switch {
	case next.ExtraLoad != h.extraLoad || next.ExtraBurst != h.extraBurst:
		h.extraLoad, h.extraBurst = next.ExtraLoad, next.ExtraBurst
		h.catalog.SetExtraBudget(next.ExtraLoad*extraBudgetShare, int(float64(next.ExtraBurst)*extraBudgetShare))
		logger.WithField("extra_load", next.ExtraLoad).WithField("extra_burst", next.ExtraBurst).Info("settings reloaded")
	case signalled:
		logger.Info("settings unchanged")
	}
}
