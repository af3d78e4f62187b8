package scale

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// randomSamples draws plays of a curve, with relative noise of at most the given share.
func randomSamples(rng *rand.Rand, xs []float64, plays int, noise float64, y func(x float64) float64) []sample {
	var samples []sample
	for _, x := range xs {
		s := sample{x: x}
		for range plays {
			s.values = append(s.values, y(x)*(1+noise*(2*rng.Float64()-1)))
		}
		samples = append(samples, s)
	}
	return samples
}

// axisPoints draws points in rising order.
func axisPoints(t *rapid.T, minCount int) []float64 {
	xs := []float64{rapid.Float64Range(1, 1000).Draw(t, "first")}
	for range rapid.IntRange(minCount-1, 6).Draw(t, "more") {
		xs = append(xs, xs[len(xs)-1]*rapid.Float64Range(1.5, 4).Draw(t, "step"))
	}
	return xs
}

func TestFitFindsEachForm(t *testing.T) {
	const noise = 0.008
	for degree, form := range forms {
		t.Run(form, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
				xs := axisPoints(t, degree+3)
				end := xs[len(xs)-1]
				var c [3]float64
				c[0] = rapid.Float64Range(1, 1e9).Draw(t, "intercept")
				for i, sum := 1, c[0]; i <= degree; i++ { // at the last point each term is at least the sum of the lower ones
					c[i] = sum * rapid.Float64Range(1, 50).Draw(t, "term") / math.Pow(end, float64(i))
					sum += c[i] * math.Pow(end, float64(i))
				}
				y := func(x float64) float64 { return c[0] + c[1]*x + c[2]*x*x }
				f, err := fitSamples(randomSamples(rng, xs, 3, noise, y))
				if err != nil {
					t.Fatal(err)
				}
				if f.degree != degree {
					t.Fatalf("found %s, largest residual %v, reasons %v", forms[f.degree], f.maxResidual, f.reasons)
				}
				for _, x := range xs {
					if off := math.Abs(f.valueAt(x)/y(x) - 1); off > 4*noise {
						t.Errorf("at %v the relative error is %.3f", x, off)
					}
				}
				if f.stdErrors[degree] <= 0 || f.stdErrors[degree] > math.Abs(c[degree]) {
					t.Errorf("the standard error of %v is %v", c[degree], f.stdErrors[degree])
				}
			})
		})
	}
}

// Scatter alone is taken for a richer form only as often as the thresholds allow.
func TestScatterGetsNoRicherForm(t *testing.T) {
	xs := []float64{1000, 4000, 13000, 29000, 100000}
	const tries = 400
	wrong := 0
	for seed := range uint64(tries) {
		f, err := fitSamples(randomSamples(rand.New(rand.NewPCG(seed, 2)), xs, 3, 0.3, func(float64) float64 { return 5 }))
		if err != nil {
			t.Fatal(err)
		}
		if f.degree != 0 {
			wrong++
		}
	}
	if share := float64(wrong) / tries; share > 0.04 { // two tests of 1%, the second limited to three standard errors
		t.Errorf("%.3f of constant figures with a scatter of 30%% got a richer form", share)
	}
}

// The reported standard error is the scatter of the coefficient over many runs.
func TestStdErrorMatchesManyRuns(t *testing.T) {
	xs := []float64{100, 400, 1000, 3000}
	var slopes, stdErrors []float64
	for seed := range uint64(300) {
		f, err := fitSamples(randomSamples(rand.New(rand.NewPCG(seed, 3)), xs, 3, 0.1, func(x float64) float64 { return 50 + x }))
		if err != nil {
			t.Fatal(err)
		}
		if f.degree == 1 {
			slopes, stdErrors = append(slopes, f.coefs[1]), append(stdErrors, f.stdErrors[1])
		}
	}
	m, sum := mean(slopes), 0.0
	for _, s := range slopes {
		sum += (s - m) * (s - m)
	}
	scatter := math.Sqrt(sum / float64(len(slopes)-1))
	if math.Abs(m-1) > 0.02 {
		t.Errorf("slopes of 1 have the mean %v", m)
	}
	if got := mean(stdErrors); got < 0.6*scatter || got > 1.6*scatter {
		t.Errorf("standard error %v, the slopes of many runs scatter by %v", got, scatter)
	}
}

// A form that is too simple is rejected, with the reason.
func TestTooSimpleFormIsRejected(t *testing.T) {
	xs := []float64{1000, 4000, 10000, 40000}
	rng := rand.New(rand.NewPCG(1, 4))
	samples := randomSamples(rng, xs, 3, 0.01, func(x float64) float64 { return 10 + x*x/1000 })
	f, err := fitSamples(samples)
	if err != nil {
		t.Fatal(err)
	}
	if f.degree != 2 || !slices.ContainsFunc(f.reasons, func(w string) bool {
		return strings.Contains(w, "linear form fitted to the other points misses the last one")
	}) {
		t.Errorf("found %s, reasons %v", forms[f.degree], f.reasons)
	}
	// The same with the form that is too simple itself.
	points, _ := weightPoints(samples)
	miss, stdErrors, ok := predictLast(points, 1)
	if !ok || -miss < 5*maxPredictionError || stdErrors < 5*minMissStdErrors {
		t.Errorf("the line misses the last point by %v, %v standard errors", miss, stdErrors)
	}
	// One outlying point does not change the form, and shows in the largest residual.
	outlier := randomSamples(rng, xs, 3, 0.01, func(x float64) float64 { return 10 + x })
	for i := range outlier[1].values {
		outlier[1].values[i] *= 1.5
	}
	if f, err = fitSamples(outlier); err != nil || f.maxResidual < 0.15 {
		t.Errorf("largest residual %v, %v", f.maxResidual, err)
	}
}

// What grows more slowly than a line gets no parabola, which would fall beyond its vertex.
func TestSlowerThanLinearGrowth(t *testing.T) {
	xs := []float64{1000, 4000, 10000, 40000, 160000}
	f, err := fitSamples(randomSamples(rand.New(rand.NewPCG(1, 5)), xs, 3, 0.01, math.Sqrt))
	if err != nil {
		t.Fatal(err)
	}
	if f.degree != 1 || f.valueAt(380000) < math.Sqrt(380000) || !slices.ContainsFunc(f.reasons, func(w string) bool { return strings.Contains(w, "more slowly") }) {
		t.Errorf("found %s with %v at 380000, reasons %v", forms[f.degree], f.valueAt(380000), f.reasons)
	}
}

func TestTooFewSamplesToFit(t *testing.T) {
	three := []float64{1, 1, 1}
	for name, samples := range map[string][]sample{
		"two points": {{1, three}, {2, three}},
		"two plays":  {{1, three}, {2, three}, {3, three[:2]}},
	} {
		if _, err := fitSamples(samples); !errors.Is(err, errNotFitted) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestFitsWithoutScatterAndAtZero(t *testing.T) {
	// Exact bytes have no scatter at all; a figure may be zero at x = 0, or always.
	exact := func(y func(x float64) float64, xs ...float64) (all []sample) {
		for _, x := range xs {
			all = append(all, sample{x, []float64{y(x), y(x), y(x)}})
		}
		return all
	}
	f, err := fitSamples(exact(func(x float64) float64 { return 120 + 204*x }, 0, 1000, 29000, 380000))
	if err != nil || f.degree != 1 || math.Abs(f.coefs[1]-204) > 1e-6 || math.Abs(f.coefs[0]-120) > 1e-3 {
		t.Errorf("%+v, %v", f, err)
	}
	f, err = fitSamples(exact(func(x float64) float64 { return 3 * x }, 0, 10, 40, 160))
	if err != nil || f.degree != 1 || math.Abs(f.coefs[1]-3) > 1e-6 || f.maxResidual > 1e-6 {
		t.Errorf("%+v, %v", f, err)
	}
	f, err = fitSamples(exact(func(x float64) float64 { return 0 }, 9, 34, 68, 137))
	if err != nil || f.degree != 0 || f.coefs[0] != 0 || f.maxResidual != 0 {
		t.Errorf("%+v, %v", f, err)
	}
	// A step up and down again is not a trend.
	f, err = fitSamples(exact(func(x float64) float64 {
		if x == 4000 {
			return 1.05 * (100 + x)
		}
		return 100 + x
	}, 1000, 4000, 13000, 29000, 100000))
	if err != nil || f.degree != 1 {
		t.Errorf("found %s, reasons %v, %v", forms[f.degree], f.reasons, err)
	}
}
