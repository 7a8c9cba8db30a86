package scale

import (
	"context"
	"errors"
)

// modelled is what was measured in the model's time.
type modelled struct {
	quota   []QuotaError
	moments []Moment
	err     error
}

// think starts the model's part. In the short form it runs beside the sweep of changes, which judges no time.
func (r *run) think() {
	r.thought = make(chan modelled, 1)
	go func() {
		var m modelled
		say := func(text string) { r.say("%s", text) }
		if m.quota, m.err = Quota(r.f.ctx, r.Seed, r.Quick, say); m.err == nil {
			m.moments, m.err = Modelled(r.f.ctx, r.Seed, r.Quick, say)
		}
		r.thought <- m
	}()
}

// model takes in the model's part: the quota's error, regions cut, the day of changes.
func (r *run) model() error {
	if !r.Model {
		r.figures.Missing = append(r.figures.Missing, Missing{"model", "quota, regions, day", "limiters", "the run was told to leave the model out: bramblelab quota measures it by itself"})
		return nil
	}
	if r.thought == nil {
		r.think()
	}
	m := <-r.thought
	r.figures.Quota = append(r.figures.Quota, m.quota...)
	r.figures.Moments = append(r.figures.Moments, m.moments...)
	if cause := context.Cause(r.f.ctx); cause != nil && errors.Is(m.err, context.Canceled) {
		return cause
	}
	return m.err
}
