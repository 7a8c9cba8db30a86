package scale

import (
	"context"
	"errors"
)

// modelResult holds what was measured in the model's simulated time.
type modelResult struct {
	quota   []QuotaError
	moments []Moment
	err     error
}

// startModel starts the model's measurements in the background. In a quick run they share the machine with the sweep over
// change rates, none of whose figures is held against a time limit.
func (r *run) startModel() {
	r.modelResults = make(chan modelResult, 1)
	go func() {
		var result modelResult
		say := func(text string) { r.say("%s", text) }
		if result.quota, result.err = MeasureQuota(r.children.ctx, r.Seed, r.Quick, say); result.err == nil {
			result.moments, result.err = MeasureModelled(r.children.ctx, r.Seed, r.Quick, say)
		}
		r.modelResults <- result
	}()
}

// collectModel waits for the model's measurements (quota error, separated regions, a day of changes) and adds them to the
// figures. It starts the model if it is not running yet.
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
	if cause := context.Cause(r.children.ctx); cause != nil && errors.Is(result.err, context.Canceled) {
		return cause
	}
	return result.err
}
