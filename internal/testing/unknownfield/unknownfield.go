// Package unknownfield adds fields to JSON documents that a receiver does not know, to test that it ignores them.
package unknownfield

import (
	"regexp"
	"strings"
)

// Renames are changes of a field's name that preserve it under case folding, by what they do.
var Renames = map[string]func(name string) string{
	"all upper case":   strings.ToUpper,
	"first upper case": func(name string) string { return strings.ToUpper(name[:1]) + name[1:] },
	"long s for s":     strings.NewReplacer("s", "\u017f").Replace,
	"kelvin for k":     strings.NewReplacer("k", "\u212a").Replace,
}

// fieldName matches the name of a field and the colon after it.
var fieldName = regexp.MustCompile(`"([a-z_]+)"\s*:`)

// Variants returns copies of a JSON document, by rename, in which each field is preceded by one whose name
// differs in case alone. Its value has the wrong type for all fields but lists of objects. The document must not
// have strings that look like field names.
func Variants(document string) map[string]string {
	variants := make(map[string]string, len(Renames))
	for name, rename := range Renames {
		variants[name] = fieldName.ReplaceAllStringFunc(document, func(field string) string {
			known := fieldName.FindStringSubmatch(field)[1]
			unknown := rename(known)
			if unknown == known {
				return field
			}
			return `"` + unknown + `":[{}],` + field
		})
	}
	return variants
}
