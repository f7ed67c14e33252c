package estimate

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/scripttest"
)

// replay is a model with the ends of an archive, and the errors of the predictions before each end.
type replay struct {
	model *Model
	steps map[string]*Step
	// errors has the squared errors of the logarithm by kind of prediction and queue.
	errors map[string][]float64
}

// TestScripts guards against predictions that are worse than the estimates, that ignore the ended tasks of a step, or that give up good
// estimates: it replays the ends of each archive and compares the errors and the predictions.
func TestScripts(t *testing.T) {
	scripttest.Each(t, func(t *testing.T, archive *txtar.Archive) {
		r := &replay{model: NewModel(), steps: make(map[string]*Step), errors: make(map[string][]float64)}
		for _, f := range archive.Files {
			for _, line := range strings.Split(strings.TrimSpace(string(f.Data)), "\n") {
				switch f.Name {
				case "ends":
					r.observe(t, strings.Fields(line))
				case "expected":
					r.check(t, strings.Fields(line), line)
				default:
					t.Fatalf("unknown file %s", f.Name)
				}
			}
		}
	})
}

// observe replays a line with a queue, a step, an estimate and a run time.
func (r *replay) observe(t *testing.T, words []string) {
	t.Helper()
	queue, step, estimate, took := words[0], words[1], parseMillis(t, words[2]), parseMillis(t, words[3])
	if r.steps[step] == nil {
		r.steps[step] = &Step{}
	}
	prediction := r.model.Predict(queue, estimate)
	r.addError("estimates "+queue, estimate, took)
	r.addError("queue "+queue, prediction.Median(), took)
	if s := r.steps[step]; s.ends > 0 {
		r.addError("steps "+queue, prediction.With(*s).Median(), took)
	}
	r.model.ObserveStep(queue, r.steps[step], estimate, took)
}

func (r *replay) addError(kind string, predicted, took time.Duration) {
	e := math.Log(float64(took) / float64(predicted))
	r.errors[kind] = append(r.errors[kind], e*e)
}

// check compares a value with a line like "error queue batch 0.4..0.6" or "predict batch 2000 1900..2100 step", times in milliseconds.
func (r *replay) check(t *testing.T, words []string, line string) {
	t.Helper()
	switch words[0] {
	case "error":
		// The first half of the ends is what the predictions of the second half have learned from.
		all := r.errors[words[1]+" "+words[2]]
		sum := 0.0
		for _, square := range all[len(all)/2:] {
			sum += square
		}
		checkRange(t, math.Sqrt(sum/float64(len(all)-len(all)/2)), words[3], line)
	case "predict":
		prediction := r.model.Predict(words[1], parseMillis(t, words[2]))
		if len(words) > 4 {
			prediction = prediction.With(*r.steps[words[4]])
		}
		checkRange(t, float64(prediction.Median().Milliseconds()), words[3], line)
	case "slope":
		checkRange(t, r.summary(t, words[1]).Slope, words[2], line)
	case "factor":
		checkRange(t, r.summary(t, words[1]).Factor, words[2], line)
	default:
		t.Fatalf("unknown check %s", line)
	}
}

func (r *replay) summary(t *testing.T, queue string) Summary {
	t.Helper()
	for _, s := range r.model.Summaries() {
		if s.Queue == queue {
			return s
		}
	}
	t.Fatalf("nothing was learned about %s", queue)
	return Summary{}
}

func checkRange(t *testing.T, value float64, bounds, line string) {
	t.Helper()
	from, to, _ := strings.Cut(bounds, "..")
	assert.Check(t, value >= parseFloat(t, from) && value <= parseFloat(t, to), "%s: %.3f", line, value)
}

func parseMillis(t *testing.T, text string) time.Duration {
	t.Helper()
	return time.Duration(parseFloat(t, text)) * time.Millisecond
}

func parseFloat(t *testing.T, text string) float64 {
	t.Helper()
	value, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return value
}
