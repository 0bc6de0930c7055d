package cwl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/dop251/goja"
)

// Limits for one evaluation. Memory is measured as the growth of the heap of the whole Go
// process during the evaluation, in bytes, sampled every few milliseconds: it stops runaway
// expressions and is not exact.
const (
	maxExprTime   = 2 * time.Second
	maxExprMemory = 64 << 20
	maxExprStack  = 512
	maxExprResult = 1 << 20 // in bytes, encoded as JSON
)

// Errors for expressions that exceed a limit. They are returned wrapped with the expression.
var (
	ErrExprTime   = errors.New("the expression takes too long")
	ErrExprMemory = errors.New("the expression takes too much memory")
	ErrExprSize   = errors.New("the expression's result is too large")
)

// javaScriptSource returns the source code of an expression, with a function body wrapped in a call.
func javaScriptSource(p segment) string {
	if p.body {
		return "(function()" + p.expr + ")()"
	}
	return p.expr
}

// run evaluates JavaScript in a new runtime without I/O, limiting time, memory, stack depth and
// the size of the result.
func (j *JavaScript) run(ctx context.Context, p segment, scope Scope) (any, error) {
	vm := goja.New()
	vm.SetMaxCallStackSize(maxExprStack)
	for name, v := range map[string]any{"inputs": scope.Inputs, "self": scope.Self, "runtime": scope.Runtime} {
		x, err := toJS(vm, v)
		if err != nil {
			return nil, err
		}
		if err := vm.Set(name, x); err != nil {
			return nil, err
		}
	}
	stop := enforceLimits(ctx, vm)
	defer stop()
	for _, lib := range j.Lib {
		if _, err := vm.RunString(lib); err != nil {
			return nil, exprError(p, err)
		}
	}
	v, err := vm.RunString(javaScriptSource(p))
	if err != nil {
		return nil, exprError(p, err)
	}
	stringify, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get("stringify"))
	text, err := stringify(goja.Undefined(), v)
	if err != nil {
		return nil, exprError(p, err)
	}
	if goja.IsUndefined(text) {
		return nil, nil
	}
	if len(text.String()) > maxExprResult {
		return nil, fmt.Errorf("%q: %w", truncate(p.expr), ErrExprSize)
	}
	return fromJSON([]byte(text.String()))
}

// exprError wraps an error of the JavaScript runtime with the expression. An interrupt is
// replaced by its cause.
func exprError(p segment, err error) error {
	var stopped *goja.InterruptedError
	if errors.As(err, &stopped) {
		if cause, ok := stopped.Value().(error); ok {
			err = cause
		}
	}
	return fmt.Errorf("%q: %w", truncate("$"+p.expr), err)
}

const heapMetric = "/memory/classes/heap/objects:bytes"

// heapBytes returns the size of the live and not yet swept heap objects, in bytes.
func heapBytes() uint64 {
	s := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(s)
	return s[0].Value.Uint64()
}

// enforceLimits interrupts a runtime that exceeds its time or memory limit, or whose context
// ends. It monitors the runtime until stop is called; stop may be called more than once.
func enforceLimits(ctx context.Context, vm *goja.Runtime) (stop func()) {
	done := make(chan struct{})
	started, before := time.Now(), heapBytes()
	go func() {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				vm.Interrupt(ctx.Err())
				return
			case <-tick.C:
				if time.Since(started) > maxExprTime {
					vm.Interrupt(ErrExprTime)
					return
				}
				if now := heapBytes(); now > before+maxExprMemory {
					vm.Interrupt(ErrExprMemory)
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// toJS copies a value into a runtime, so that expressions can't modify the original.
func toJS(vm *goja.Runtime, v any) (goja.Value, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	parse, _ := goja.AssertFunction(vm.Get("JSON").ToObject(vm).Get("parse"))
	return parse(goja.Undefined(), vm.ToValue(string(b)))
}
