package scale

import (
	"context"
	"errors"
)

// modelled is what was measured in the model's time.
type modelResult struct {
	quota   []QuotaError
	moments []Moment
	err     error
}

// think starts the model's part. In the short form it runs beside the sweep of changes, which judges no time.
func (r *run) startModel() {
	r.modelResults = make(chan modelResult, 1)
	go func() {
		var result modelResult
		say := func(text string) { r.say("%s", text) }
		if result.quota, result.err = Quota(r.group.ctx, r.Seed, r.Quick, say); result.err == nil {
			result.moments, result.err = Modelled(r.group.ctx, r.Seed, r.Quick, say)
		}
		r.modelResults <- result
	}()
}

// model takes in the model's part: the quota's error, regions cut, the day of changes.
func (r *run) collectModel() error {
	if !r.Model {
		r.figures.Missing = append(r.figures.Missing, Missing{"model", "quota, regions, day", "limiters", "the run was told to leave the model out: bramblelab quota measures it by itself"})
		return nil
	}
	if r.modelResults == nil {
		r.startModel()
	}
	result := <-r.modelResults
	r.figures.Quota = append(r.figures.Quota, result.quota...)
	r.figures.Moments = append(r.figures.Moments, result.moments...)
	if cause := context.Cause(r.group.ctx); cause != nil && errors.Is(result.err, context.Canceled) {
		return cause
	}
	return result.err
}
