package runtimes

import "math"

// residuals is a histogram of the logarithms of run time divided by prediction. Its counts lose weight with each new end, which the
// histograms of the declared library for quantiles do not support.
type residuals struct {
	counts [buckets]float32
	total  float32
}

// Buckets of the histogram; the first and the last also count what is below and above them.
const (
	buckets      = 28
	bucketWidth  = 0.15
	lowestBucket = -1.5 // a fifth of the prediction; the last bucket begins at 13 times the prediction
)

// tailQuantile is the fraction of run times up to the tail: with the 3% of much longer runs that were observed, these are below it.
const tailQuantile = 0.99

func (r *residuals) add(err float64) {
	i := int(clamp(math.Floor((err-lowestBucket)/bucketWidth), 0, buckets-1))
	if r.total >= tailMemory {
		r.scale(1 - 1.0/tailMemory)
	}
	r.counts[i]++
	r.total++
}

func (r *residuals) scale(by float64) {
	for i := range r.counts {
		r.counts[i] *= float32(by)
	}
	r.total *= float32(by)
}

// factors holds the factor of a run time to its prediction in the middle of each bucket.
var factors = func() (f [buckets]float64) {
	for i := range f {
		f[i] = math.Exp(lowestBucket + bucketWidth*(float64(i)+0.5))
	}
	return f
}()

// mean returns the mean of run time divided by prediction, or 1 if nothing is counted.
func (r *residuals) mean() float64 {
	if r.total <= 0 {
		return 1
	}
	sum := 0.0
	for i, c := range r.counts {
		sum += float64(c) * factors[i]
	}
	return sum / float64(r.total)
}

// tail returns the quantile of the tail, or 0 if nothing is counted.
func (r *residuals) tail() float64 {
	above := float32(0)
	for i := buckets - 1; i >= 0; i-- {
		above += r.counts[i]
		if above > r.total*(1-tailQuantile) {
			return lowestBucket + bucketWidth*float64(i+1)
		}
	}
	return 0
}
