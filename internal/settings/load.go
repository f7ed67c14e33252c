package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// sourcedValue is the text of a setting and the source that it was read from.
type sourcedValue struct {
	text   string
	source string
}

// Load reads the settings of a file, overridden by the environment, and both overridden by the overrides key=value.
//
// All problems are reported in one error, each with its file and line.
func Load(file string, overrides []string, environment func(string) (string, bool)) (*Settings, error) {
	content, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "the settings cannot be read")
	}
	return parse(file, content, overrides, environment)
}

func parse(file string, content []byte, overrides []string, environment func(string) (string, bool)) (*Settings, error) {
	values := make(map[string]sourcedValue)
	problems, err := readFile(file, content, values)
	if err != nil {
		return nil, err
	}
	for _, s := range list {
		if text, ok := environment(s.Environment()); ok {
			values[s.key] = sourcedValue{text: text, source: "environment " + s.Environment()}
		}
	}
	problems = append(problems, readOverrides(overrides, values)...)
	settings, buildProblems := build(file, values)
	problems = append(problems, buildProblems...)
	if len(problems) > 0 {
		return nil, fault.New(fault.BadInput, "the settings have %d problems:\n%s", len(problems), strings.Join(problems, "\n"))
	}
	return settings, nil
}

func readFile(file string, content []byte, values map[string]sourcedValue) ([]string, error) {
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, fault.New(fault.BadInput, "%s is not YAML: %v", file, err)
	}
	var problems []string
	for _, document := range parsed.Docs {
		if document.Body != nil {
			problems = append(problems, collectValues(file, "", document.Body, values)...)
		}
	}
	return problems, nil
}

func collectValues(file, prefix string, node ast.Node, values map[string]sourcedValue) []string {
	switch n := node.(type) {
	case *ast.MappingNode:
		problems := []string{}
		for _, v := range n.Values {
			problems = append(problems, collectValues(file, prefix, v, values)...)
		}
		return problems
	case *ast.MappingValueNode:
		key := prefix + n.Key.GetToken().Value
		if _, isMapping := n.Value.(*ast.MappingNode); isMapping {
			return collectValues(file, key+".", n.Value, values)
		}
		if _, isMapping := n.Value.(*ast.MappingValueNode); isMapping {
			return collectValues(file, key+".", n.Value, values)
		}
		return readValue(file, key, n, values)
	default:
		return []string{fmt.Sprintf("%s:%d: a setting is written key: value", file, node.GetToken().Position.Line)}
	}
}

func readValue(file, key string, n *ast.MappingValueNode, values map[string]sourcedValue) []string {
	source := fmt.Sprintf("%s:%d", file, n.Key.GetToken().Position.Line)
	if !isKnown(key) {
		return []string{fmt.Sprintf("%s: there is no setting %s%s", source, key, suggestion(key))}
	}
	if earlier, ok := values[key]; ok {
		return []string{fmt.Sprintf("%s: %s is already set at %s", source, key, earlier.source)}
	}
	values[key] = sourcedValue{text: n.Value.GetToken().Value, source: source}
	return nil
}

func isKnown(key string) bool {
	for _, s := range list {
		if s.key == key {
			return true
		}
	}
	return false
}

// suggestion returns a hint at a setting that has the same last part, empty if there is none.
func suggestion(key string) string {
	last := key[strings.LastIndexByte(key, '.')+1:]
	for _, s := range list {
		if strings.HasSuffix(s.key, last) || strings.HasPrefix(s.key, last+".") {
			return "; did you mean " + s.key + "?"
		}
	}
	return ""
}

func readOverrides(overrides []string, values map[string]sourcedValue) []string {
	var problems []string
	for _, o := range overrides {
		key, text, ok := strings.Cut(o, "=")
		if !ok || !isKnown(key) {
			problems = append(problems, fmt.Sprintf("--set %s: give a known setting as key=value", o))
			continue
		}
		values[key] = sourcedValue{text: text, source: "--set " + key}
	}
	return problems
}

func build(file string, values map[string]sourcedValue) (*Settings, []string) {
	settings := &Settings{}
	role := values["role"].text
	var problems []string
	for _, s := range list {
		value, ok := values[s.key]
		if !ok && s.defaultValue != "" {
			value = sourcedValue{text: s.defaultValue, source: "default"}
		}
		if !ok && s.defaultValue == "" {
			if !s.optional && (s.role == "" || s.role == role) {
				problems = append(problems, fmt.Sprintf("%s: %s is missing; give %s", file, s.key, s.allowed))
			}
			continue
		}
		if !s.read(settings, value.text) {
			problems = append(problems, fmt.Sprintf("%s: %s is %q; give %s", value.source, s.key, value.text, s.allowed))
		}
	}
	return settings, problems
}
