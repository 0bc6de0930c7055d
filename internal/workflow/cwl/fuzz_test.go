package cwl

import (
	"context"
	"testing"
	"time"
)

// FuzzLoad checks that no document makes Load, Start or Ready panic or hang.
func FuzzLoad(f *testing.F) {
	for _, s := range loadSuites(f) {
		for _, c := range s.Documents {
			f.Add([]byte(c.Doc))
		}
		for _, c := range s.Runs {
			f.Add([]byte(c.Doc))
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p, _, err := Load(Bundle{"main.cwl": b}, "main.cwl")
		if err != nil {
			return
		}
		if r, err := Start(ctx, p, map[string]any{}); err == nil {
			r.Ready(10)
		}
	})
}

// FuzzEval checks that no expression makes Eval panic, run for too long, or modify its inputs.
func FuzzEval(f *testing.F) {
	for _, s := range loadSuites(f) {
		for _, c := range s.Expressions {
			f.Add(c.Text, c.JS)
		}
	}
	f.Fuzz(func(t *testing.T, text string, js bool) {
		var n Requirements
		if js {
			n.JavaScript = &JavaScript{}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		inputs := map[string]any{"a": []any{int64(1), "x"}}
		started := time.Now()
		_, _ = n.Eval(ctx, text, Scope{Inputs: inputs})
		if took := time.Since(started); took > 10*time.Second {
			t.Errorf("took %v", took)
		}
		if jsonText(inputs) != `{"a":[1,"x"]}` {
			t.Errorf("changed its inputs to %s", jsonText(inputs))
		}
	})
}
