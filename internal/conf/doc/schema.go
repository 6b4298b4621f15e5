package doc

import (
	"bytes"
	_ "embed" // the schema is a separate file, for editors and consoles
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"

	"dahliawinch/internal/conf/valid"
)

//go:embed schema.json
var schemaText []byte

// Schema returns the JSON Schema of a document.
func Schema() []byte { return bytes.Clone(schemaText) }

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	const name = "schema.json"
	text, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("read schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, text); err != nil {
		return nil, fmt.Errorf("add schema: %w", err)
	}
	s, err := c.Compile(name)
	if err != nil {
		return nil, fmt.Errorf("compile schema: %w", err)
	}
	return s, nil
})

// checkSchema checks a document's JSON against the schema: fields, types, names.
func checkSchema(text []byte) []valid.Problem {
	s, err := compiledSchema()
	if err != nil {
		return []valid.Problem{valid.NewProblem("document", err.Error(), "this program is broken; report it")}
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return []valid.Problem{valid.NewProblem("document", strings.TrimPrefix(err.Error(), "invalid character "), "mend the JSON")}
	}
	var bad *jsonschema.ValidationError
	if errors.As(s.Validate(value), &bad) {
		ps := leafProblems(bad)
		slices.SortStableFunc(ps, func(a, b valid.Problem) int { return strings.Compare(a.Field, b.Field) })
		return ps
	}
	return nil
}

// leafProblems converts the innermost causes of a validation error to problems.
func leafProblems(e *jsonschema.ValidationError) (ps []valid.Problem) {
	if len(e.Causes) > 0 {
		for _, c := range e.Causes {
			ps = append(ps, leafProblems(c)...)
		}
		return ps
	}
	path := strings.Join(e.InstanceLocation, ".")
	field := path
	if field == "" {
		field = "document"
	}
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			ps = append(ps, valid.NewProblem(joinPath(path, name), "is not a known field", "remove it, or mend its spelling"))
		}
		return ps
	case *kind.Required:
		for _, name := range k.Missing {
			ps = append(ps, valid.NewProblem(joinPath(path, name), "is missing", "add it"))
		}
		return ps
	case *kind.Type:
		return []valid.Problem{valid.NewProblem(field, "is of type "+k.Got, "write a value of type "+strings.Join(k.Want, " or "))}
	case *kind.Enum:
		return []valid.Problem{valid.NewProblem(field, fmt.Sprintf("is %q", k.Got), fmt.Sprintf("use one of %v", k.Want))}
	case *kind.Pattern:
		fix := "write a duration like 750ms or 2s"
		if strings.Contains(k.Want, "{1,5}") {
			fix = "write an IP number and a port, such as 10.1.2.3:8080"
		}
		return []valid.Problem{valid.NewProblem(field, fmt.Sprintf("is %q", k.Got), fix)}
	default:
		return []valid.Problem{valid.NewProblem(field, "does not fit the schema", "compare it with docs/DOCUMENT.md")}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
