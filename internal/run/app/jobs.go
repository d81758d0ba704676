package app

import (
	"time"

	"yardwharf/internal/decide/waiting"
	"yardwharf/internal/doors/jobs"
	"yardwharf/internal/run/operator"
)

// startJobs starts the front for jobs that wait, with those of the last snapshot.
func (p *program) startJobs(o *operator.Jobs) error {
	p.jobs = jobs.NewRunner(p.loop, p.log, waiting.Config{Limits: o.Limits, Ageing: o.Ageing}, &p.config.Settings, p.config.Seed, p.dispatcher, time.Now)
	if o.Snapshot != "" {
		n, err := p.jobs.Load(o.Snapshot, p.config.Name)
		if err != nil {
			return err
		}
		if n > 0 {
			p.log.Info().Int("jobs", n).Str("file", o.Snapshot).Msg("jobs taken over")
		}
	}
	var err error
	if p.jobsAPI, err = jobs.Serve(o.Listen, p.jobs); err != nil {
		return err
	}
	p.log.Info().Str("listen", p.jobsAPI.Addr()).Msg("job API serves")
	return nil
}

// saveJobs hands the jobs that wait to the next start.
func (p *program) saveJobs() {
	if p.jobs == nil || p.operator.Jobs == nil || p.operator.Jobs.Snapshot == "" {
		return
	}
	file := p.operator.Jobs.Snapshot
	if n, err := p.jobs.Save(file, p.config.Name); err != nil {
		p.log.Error().Err(err).Msg("jobs not kept")
	} else {
		p.log.Info().Int("jobs", n).Str("file", file).Msg("jobs kept for the next start")
	}
}
