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

// Forms of a slope, from the simplest on.
const (
	Constant  = capacity.Constant
	Linear    = capacity.Linear
	Quadratic = capacity.Quadratic
)

var forms = []string{Constant, Linear, Quadratic} // each has one coefficient more than its place

// What a fit is held to.
const (
	minPlaysToFit      = 3    // of a point, that it is fitted
	minPointsToFit     = 3    // of a slope
	minRelativeScatter = 5e-3 // relative; less than this is told apart by no run
	minRelativeSize    = 1e-2 // of the largest figure: what lies below is judged as if it were so large, since nothing is relative to zero
	trendPValue        = 0.01 // a trend in the residuals is one that scatter alone shows less often than this
	minTrendResidual   = 0.02 // and that the simpler form misses some point by more than this share for it
	maxPredictionError = 0.10 // by how much of it a form may miss the last point when it is fitted to the others
	minMissStdErrors   = 3    // a miss is one when it is more than so many standard errors
)

// sample is what the plays of one point read of one figure.
type sample struct {
	x      float64
	values []float64 // one of each play that is fitted
}

// curve is a fitted form: y = c[0] + c[1]*x + c[2]*x*x.
type curve struct {
	coefs     [3]float64
	stdErrors [3]float64 // standard errors, from the plays' scatter
	degree    int        // 0 constant, 1 linear, 2 quadratic
	chiSquare float64    // sum of the squares of the residuals, each in standard errors
	cov       *mat.SymDense
	xScale    float64 // of x, for cov
}

func (f curve) valueAt(x float64) float64 { return f.coefs[0] + x*(f.coefs[1]+x*f.coefs[2]) }

// errorAt is the standard error of what the curve tells at x.
func (f curve) stdErrorAt(x float64) float64 {
	v := powers(x/f.xScale, f.degree)
	return math.Sqrt(max(0, mat.Inner(v, f.cov, v)))
}

func powers(x float64, order int) *mat.VecDense {
	v := mat.NewVecDense(order+1, nil)
	p := 1.0
	for i := range order + 1 {
		v.SetVec(i, p)
		p *= x
	}
	return v
}

// point is a sample's mean with its standard error.
type weightedPoint struct{ x, y, stdErr, size float64 }

// weigh works out each point's mean and its standard error. A point's relative scatter is drawn to that of all points, since few plays
// tell little of it.
func weightPoints(samples []sample) (points []weightedPoint, freedom int) {
	biggest := 0.0
	for _, s := range samples {
		biggest = max(biggest, math.Abs(mean(s.values)))
	}
	type scatter struct {
		squares float64 // relative
		freedom int
	}
	each := make([]scatter, len(samples))
	var all scatter
	for i, s := range samples {
		m := mean(s.values)
		size := max(math.Abs(m), minRelativeSize*biggest)
		p := weightedPoint{x: s.x, y: m, size: size}
		for _, y := range s.values {
			if size > 0 {
				each[i].squares += (y - m) / size * (y - m) / size
			}
		}
		each[i].freedom = len(s.values) - 1
		all.squares += each[i].squares
		all.freedom += each[i].freedom
		points = append(points, p)
	}
	pooled := 0.0
	if all.freedom > 0 {
		pooled = all.squares / float64(all.freedom)
	}
	const asMuchAs = 2 // plays
	for i := range points {
		square := (each[i].squares + asMuchAs*pooled) / float64(each[i].freedom+asMuchAs)
		r := max(math.Sqrt(square), minRelativeScatter)
		points[i].stdErr = r * points[i].size / math.Sqrt(float64(len(samples[i].values)))
	}
	return points, all.freedom
}

// leastSquares fits a form to the points, each weighted by its standard error.
func leastSquares(points []weightedPoint, order int) (curve, error) {
	n := order + 1
	f := curve{degree: order, xScale: 1}
	if len(points) < n {
		return f, errors.New("fewer points than coefficients")
	}
	for _, p := range points {
		f.xScale = max(f.xScale, math.Abs(p.x))
	}
	normal, right := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for _, p := range points {
		v := powers(p.x/f.xScale, order)
		w := 1 / (p.stdErr * p.stdErr)
		normal.SymRankOne(normal, w, v)
		right.AddScaledVec(right, w*p.y, v)
	}
	var chol mat.Cholesky
	if !chol.Factorize(normal) {
		return f, errors.New("the points don't tell the coefficients apart")
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

// fitted is a slope's form and figures, and how the form was found.
type slopeFit struct {
	curve
	maxResidual float64  // largest relative residual, or how far the others' fit missed the last point
	reasons     []string // what spoke against each simpler form, and what else is to be known
}

// errNotFitted says that there is too little to fit.
var errNotFitted = errors.New("not fitted")

// fitSamples finds the simplest form that the samples, rising in x, don't speak against.
func fitSamples(samples []sample) (slopeFit, error) {
	samples = slices.DeleteFunc(slices.Clone(samples), func(s sample) bool { return len(s.values) < minPlaysToFit })
	if len(samples) < minPointsToFit {
		return slopeFit{}, fmt.Errorf("%w: %d points with %d plays or more, %d are needed", errNotFitted, len(samples), minPlaysToFit, minPointsToFit)
	}
	points, freedom := weightPoints(samples)
	if !slices.ContainsFunc(points, func(p weightedPoint) bool { return p.size > 0 }) { // all zero
		return slopeFit{curve: curve{degree: 0, xScale: 1, cov: mat.NewSymDense(1, nil)}}, nil
	}
	var found slopeFit
	for order := range forms {
		f, err := leastSquares(points, order)
		if err != nil {
			return slopeFit{}, fmt.Errorf("%w: %w", errNotFitted, err)
		}
		found = slopeFit{curve: f, reasons: found.reasons}
		found.maxResidual = maxRelativeResidual(f, points)
		miss, missErr, foretold := predictLast(points, order)
		if foretold {
			found.maxResidual = max(found.maxResidual, math.Abs(miss))
		}
		missed := foretold && math.Abs(miss) > maxPredictionError && missErr > minMissStdErrors
		if order+1 == len(forms) || len(points) < order+3 { // a richer form would have no point left to be tested by
			return found, nil
		}
		richer, err := leastSquares(points, order+1)
		if err != nil {
			return found, nil
		}
		var against []string
		// Where the richer form leaves more than scatter, too, it has to lower the sum by as much more: steps are no trend.
		left := max(1, richer.chiSquare/float64(len(points)-order-2))
		if p := fTestPValue((f.chiSquare-richer.chiSquare)/left, freedom); maxRelativeResidual(f, points) > minTrendResidual && p < trendPValue {
			against = append(against, fmt.Sprintf("the residuals of the %s form have a trend (chance %.1g)", forms[order], p))
		}
		if better, _, _ := predictLast(points, order+1); missed && math.Abs(better) < math.Abs(miss) {
			against = append(against, fmt.Sprintf("the %s form of the others misses the last point by %.0f%%", forms[order], 100*math.Abs(miss)))
		}
		switch {
		case order == 1 && (len(against) > 0 && richer.coefs[2] <= 0 || missed && miss > 0):
			// Bent down, a parabola falls past its top; the line lies above the measured end.
			found.reasons = append(found.reasons, "grows slower than a line: past the range the line is an upper estimate")
			return found, nil
		case len(against) == 0 && missed:
			found.reasons = append(found.reasons, fmt.Sprintf("no form tells the last point from the others; the %s one misses it by %.0f%%", forms[order], 100*math.Abs(miss)))
			return found, nil
		case len(against) == 0:
			return found, nil
		}
		found.reasons = append(found.reasons, against...)
	}
	return found, nil
}

// chance is that of scatter alone lowering the sum of squares by so much with one coefficient more.
func fTestPValue(gain float64, freedom int) float64 {
	if gain <= 0 {
		return 1
	}
	return distuv.F{D1: 1, D2: float64(max(freedom, 1))}.Survival(gain)
}

func maxRelativeResidual(f curve, points []weightedPoint) float64 {
	worst := 0.0
	for _, p := range points {
		if p.size > 0 {
			worst = max(worst, math.Abs(p.y-f.valueAt(p.x))/p.size)
		}
	}
	return worst
}

// foretell fits a form to all points but the last, and tells by which share of it the last one is missed (above 0: more was foretold), and
// by how many standard errors.
func predictLast(points []weightedPoint, order int) (share, errs float64, ok bool) {
	last := points[len(points)-1]
	f, err := leastSquares(points[:len(points)-1], order)
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
