package wire

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// TestGlossary checks that each line of the glossary in doc.go has the JSON key of the field that it names,
// and that the glossary has the key of every message field whose key differs from its Go name.
func TestGlossary(t *testing.T) {
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	inGlossary := map[string]bool{}
	keys := keysOfFields(
		Heartbeat{}, TaskStatus{}, HeartbeatResponse{}, Command{}, Redirect{}, JobSpec{}, WorkflowSpec{},
		WorkflowStatus{}, StepStatus{}, MachineTypeList{}, MachineType{}, ScaleOutRequest{}, MachineIDList{},
		MachineList{}, Item{}, ItemPage{}, Condition{}, Txn{}, Change{}, TxnResult{}, LeaseRequest{},
		LeaseGrant{}, Events{}, Judgement{}, JudgedParty{},
	)
	for _, line := range regexp.MustCompile(`(?m)^//\t(\w+) +(\w+\.\w+) +\S`).FindAllStringSubmatch(string(doc), -1) {
		key, field := line[1], line[2]
		inGlossary[key] = true
		if keys[field] != key {
			t.Errorf("the glossary lists %s under the key %q, but its key is %q", field, key, keys[field])
		}
	}
	for field, key := range keys {
		_, name, _ := strings.Cut(field, ".")
		if plain := strings.ReplaceAll(key, "_", ""); !strings.EqualFold(plain, name) && !inGlossary[key] {
			t.Errorf("the glossary lacks the key %q of %s", key, field)
		}
	}
}

// keysOfFields maps the fields of structs, as "Type.Field", to their JSON keys.
func keysOfFields(structs ...any) map[string]string {
	keys := map[string]string{}
	for _, s := range structs {
		structType := reflect.TypeOf(s)
		for i := range structType.NumField() {
			field := structType.Field(i)
			key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			keys[structType.Name()+"."+field.Name] = key
		}
	}
	return keys
}
