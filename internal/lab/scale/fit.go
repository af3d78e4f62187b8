package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"

	"starlingusher/fleet/capacity"
)

// Forms of a slope, from the simplest to the richest.
const (
	Constant  = capacity.Constant
	Linear    = capacity.Linear
	Quadratic = capacity.Quadratic
)

var forms = []string{Constant, Linear, Quadratic} // indexed by degree

// Thresholds of a fit.
const (
	minPlaysToFit      = 3    // plays of a point; one with fewer is left out of the fit
	minPointsToFit     = 3    // points of a slope
	minRelativeScatter = 5e-3 // lower bound of the relative scatter; no run can tell a smaller one
	minRelativeSize    = 1e-2 // share of the largest value: a smaller value counts as this large where errors are relative to it, since nothing is relative to zero
	trendPValue        = 0.01 // residuals have a trend if scatter alone causes one with a probability below this
	minTrendResidual   = 0.02 // and if the simpler form misses some point by more than this share
	maxPredictionError = 0.10 // share by which a form may miss the last point when fitted to the others
	minMissStdErrors   = 3    // it has missed the point only if the miss is also more than this many standard errors
)

// sample holds the values of one figure at one point.
type sample struct {
	x      float64
	values []float64 // one for each play that is fitted
}

// curve is a fitted polynomial: y = coefs[0] + coefs[1]*x + coefs[2]*x*x.
type curve struct {
	coefs     [3]float64
	stdErrors [3]float64 // of the coefficients, from the scatter of the plays
	degree    int        // 0 constant, 1 linear, 2 quadratic
	chiSquare float64    // sum of the squared residuals, each in standard errors
	cov       *mat.SymDense
	xScale    float64 // cov is the covariance of the coefficients of x/xScale
}

func (f curve) valueAt(x float64) float64 { return f.coefs[0] + x*(f.coefs[1]+x*f.coefs[2]) }

// stdErrorAt returns the standard error of valueAt(x).
func (f curve) stdErrorAt(x float64) float64 {
	v := powers(x/f.xScale, f.degree)
	return math.Sqrt(max(0, mat.Inner(v, f.cov, v)))
}

func powers(x float64, degree int) *mat.VecDense {
	v := mat.NewVecDense(degree+1, nil)
	p := 1.0
	for i := range degree + 1 {
		v.SetVec(i, p)
		p *= x
	}
	return v
}

// weightedPoint is a sample's mean with its standard error. size is the mean's magnitude, to which errors are
// relative.
type weightedPoint struct{ x, y, stdErr, size float64 }

// weightPoints returns each point's mean and standard error, and the degrees of freedom of all points
// together. Few plays tell little of a point's scatter, so its relative scatter is shrunk towards the pooled
// one.
func weightPoints(samples []sample) (points []weightedPoint, degreesOfFreedom int) {
	largest := 0.0
	for _, s := range samples {
		largest = max(largest, math.Abs(mean(s.values)))
	}
	type scatter struct {
		squares float64 // sum of squared relative deviations
		freedom int
	}
	scatters := make([]scatter, len(samples))
	var all scatter
	for i, s := range samples {
		m := mean(s.values)
		size := max(math.Abs(m), minRelativeSize*largest)
		p := weightedPoint{x: s.x, y: m, size: size}
		for _, y := range s.values {
			if size > 0 {
				scatters[i].squares += (y - m) / size * (y - m) / size
			}
		}
		scatters[i].freedom = len(s.values) - 1
		all.squares += scatters[i].squares
		all.freedom += scatters[i].freedom
		points = append(points, p)
	}
	pooled := 0.0
	if all.freedom > 0 {
		pooled = all.squares / float64(all.freedom)
	}
	const pooledWeight = 2 // weight of the pooled scatter, in degrees of freedom
	for i := range points {
		square := (scatters[i].squares + pooledWeight*pooled) / float64(scatters[i].freedom+pooledWeight)
		r := max(math.Sqrt(square), minRelativeScatter)
		points[i].stdErr = r * points[i].size / math.Sqrt(float64(len(samples[i].values)))
	}
	return points, all.freedom
}

// leastSquares fits a polynomial of a degree to the points, each weighted by its standard error.
func leastSquares(points []weightedPoint, degree int) (curve, error) {
	n := degree + 1
	f := curve{degree: degree, xScale: 1}
	if len(points) < n {
		return f, errors.New("fewer points than coefficients")
	}
	for _, p := range points {
		f.xScale = max(f.xScale, math.Abs(p.x))
	}
	normal, right := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for _, p := range points {
		v := powers(p.x/f.xScale, degree)
		w := 1 / (p.stdErr * p.stdErr)
		normal.SymRankOne(normal, w, v)
		right.AddScaledVec(right, w*p.y, v)
	}
	var chol mat.Cholesky
	if !chol.Factorize(normal) {
		return f, errors.New("the points do not determine the coefficients")
	}
	var c mat.VecDense
	if err := chol.SolveVecTo(&c, right); err != nil {
		return f, fmt.Errorf("least squares: %w", err)
	}
	f.cov = mat.NewSymDense(n, nil)
	if err := chol.InverseTo(f.cov); err != nil {
		return f, fmt.Errorf("least squares: %w", err)
	}
	s := 1.0
	for i := range n {
		f.coefs[i] = c.AtVec(i) / s
		f.stdErrors[i] = math.Sqrt(f.cov.At(i, i)) / s
		s *= f.xScale
	}
	for _, p := range points {
		d := (p.y - f.valueAt(p.x)) / p.stdErr
		f.chiSquare += d * d
	}
	return f, nil
}

// slopeFit is the chosen form with its coefficients, and how it was chosen.
type slopeFit struct {
	curve
	maxResidual float64  // largest relative residual, or the relative error of predicting the last point from the others if that is larger
	reasons     []string // why each simpler form was rejected, and other remarks
}

// errNotFitted says that there is too little data for a fit.
var errNotFitted = errors.New("not fitted")

// fitSamples returns the simplest form that the samples, in rising x, do not contradict.
func fitSamples(samples []sample) (slopeFit, error) {
	samples = slices.DeleteFunc(slices.Clone(samples), func(s sample) bool { return len(s.values) < minPlaysToFit })
	if len(samples) < minPointsToFit {
		return slopeFit{}, fmt.Errorf("%w: %d points with %d plays or more, %d are needed", errNotFitted, len(samples), minPlaysToFit, minPointsToFit)
	}
	points, degreesOfFreedom := weightPoints(samples)
	if !slices.ContainsFunc(points, func(p weightedPoint) bool { return p.size > 0 }) { // all values are zero
		return slopeFit{curve: curve{degree: 0, xScale: 1, cov: mat.NewSymDense(1, nil)}}, nil
	}
	var found slopeFit
	for degree := range forms {
		f, err := leastSquares(points, degree)
		if err != nil {
			return slopeFit{}, fmt.Errorf("%w: %w", errNotFitted, err)
		}
		found = slopeFit{curve: f, reasons: found.reasons}
		found.maxResidual = maxRelativeResidual(f, points)
		miss, missErr, predicted := predictLast(points, degree)
		if predicted {
			found.maxResidual = max(found.maxResidual, math.Abs(miss))
		}
		missed := predicted && math.Abs(miss) > maxPredictionError && missErr > minMissStdErrors
		if degree+1 == len(forms) || len(points) < degree+3 { // a richer form would leave no point to test it with
			return found, nil
		}
		richer, err := leastSquares(points, degree+1)
		if err != nil {
			return found, nil
		}
		var objections []string
		// If the richer form too leaves more than scatter, it has to lower the sum of squares by as much
		// more: a step in the values is not a trend.
		unexplained := max(1, richer.chiSquare/float64(len(points)-degree-2))
		if p := fTestPValue((f.chiSquare-richer.chiSquare)/unexplained, degreesOfFreedom); maxRelativeResidual(f, points) > minTrendResidual && p < trendPValue {
			objections = append(objections, fmt.Sprintf("the residuals of the %s form have a trend (p = %.1g)", forms[degree], p))
		}
		if richerMiss, _, _ := predictLast(points, degree+1); missed && math.Abs(richerMiss) < math.Abs(miss) {
			objections = append(objections, fmt.Sprintf("the %s form fitted to the other points misses the last one by %.0f%%", forms[degree], 100*math.Abs(miss)))
		}
		switch {
		case degree == 1 && (len(objections) > 0 && richer.coefs[2] <= 0 || missed && miss > 0):
			// A parabola that bends down falls beyond its vertex. The line lies above the last measured
			// point.
			found.reasons = append(found.reasons, "grows more slowly than a line: beyond the measured range the line is an upper estimate")
			return found, nil
		case len(objections) == 0 && missed:
			found.reasons = append(found.reasons, fmt.Sprintf("no form predicts the last point from the others; the %s form misses it by %.0f%%", forms[degree], 100*math.Abs(miss)))
			return found, nil
		case len(objections) == 0:
			return found, nil
		}
		found.reasons = append(found.reasons, objections...)
	}
	return found, nil
}

// fTestPValue returns the probability that scatter alone lowers the sum of squares by this much when one
// coefficient is added (an F test).
func fTestPValue(gain float64, degreesOfFreedom int) float64 {
	if gain <= 0 {
		return 1
	}
	return distuv.F{D1: 1, D2: float64(max(degreesOfFreedom, 1))}.Survival(gain)
}

func maxRelativeResidual(f curve, points []weightedPoint) float64 {
	largest := 0.0
	for _, p := range points {
		if p.size > 0 {
			largest = max(largest, math.Abs(p.y-f.valueAt(p.x))/p.size)
		}
	}
	return largest
}

// predictLast fits a polynomial to all points but the last and predicts that one. It returns the relative
// error, above 0 if the prediction is too high, and the error in standard errors.
func predictLast(points []weightedPoint, degree int) (relativeError, stdErrors float64, ok bool) {
	last := points[len(points)-1]
	f, err := leastSquares(points[:len(points)-1], degree)
	if err != nil || last.size == 0 {
		return 0, 0, false
	}
	d := f.valueAt(last.x) - last.y
	return d / last.size, math.Abs(d) / math.Hypot(last.stdErr, f.stdErrorAt(last.x)), true
}

func mean(ys []float64) float64 {
	if len(ys) == 0 {
		return 0
	}
	sum := 0.0
	for _, y := range ys {
		sum += y
	}
	return sum / float64(len(ys))
}

func median(ys []float64) float64 {
	if len(ys) == 0 {
		return math.NaN()
	}
	s := slices.Sorted(slices.Values(ys))
	n := len(s)
	return (s[(n-1)/2] + s[n/2]) / 2
}
