package logic

// Decisions are the same on every architecture. Where a processor has an instruction that multiplies and adds with one rounding,
// the compiler may use it for a product that is added to something; an explicit conversion of the product keeps it from that.

// smoothed returns an estimate that has moved towards a sample by a share of the way.
func smoothed(estimate, share, sample float64) float64 {
	return estimate + float64(share*(sample-estimate))
}
