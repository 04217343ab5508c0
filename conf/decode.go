package conf

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// checker collects the problems of one document and knows the line of each key.
type checker struct {
	file     string
	lines    map[string]int
	problems Problems
}

// read parses the TOML text and fills out, which holds the defaults. The
// library checks the syntax; the fields are filled here, because the library
// stops at the first value of a wrong type and all problems are to be reported.
func read(file string, b []byte, out any) *checker {
	c := &checker{file: file}
	if len(b) >= MaxDocument {
		c.add("", "document has %d bytes, must be under %d", len(b), MaxDocument)
		return c
	}
	var tree map[string]any
	if err := toml.Unmarshal(b, &tree); err != nil {
		c.syntax(err)
		return c
	}
	c.lines = locate(b)
	c.table("", tree, reflect.ValueOf(out).Elem())
	return c
}

func (c *checker) syntax(err error) {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		c.add("", "%v", err)
		return
	}
	row, _ := d.Position()
	message := strings.TrimPrefix(d.Error(), "toml: ")
	c.problems = append(c.problems, Problem{File: c.file, Line: row, Key: strings.Join(d.Key(), "."), Message: message})
}

// add records a problem at the line of a key, or of the nearest table around it.
func (c *checker) add(key, format string, args ...any) {
	line := 1
	for k := key; k != ""; {
		if n, ok := c.lines[k]; ok {
			line = n
			break
		}
		k = k[:max(0, strings.LastIndexAny(k, ".["))]
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// result returns nil or all problems by line.
func (c *checker) result() error {
	if len(c.problems) == 0 {
		return nil
	}
	c.problems.sort()
	return c.problems
}

// locate maps each key, written as in a.b[0].c, to its line.
func locate(b []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int) // elements so far of each array of tables
	prefix := ""
	var p unstable.Parser
	p.Reset(b)
	for p.NextExpression() {
		switch e := p.Expression(); e.Kind {
		case unstable.KeyValue:
			locateValue(&p, lines, prefix, e)
		case unstable.Table, unstable.ArrayTable:
			prefix = ""
			line := 1
			for it := e.Key(); it.Next(); {
				n := it.Node()
				prefix = join(prefix, string(n.Data))
				line = p.Shape(n.Raw).Start.Line
				if count := counts[prefix]; count > 0 && (!it.IsLast() || e.Kind == unstable.Table) {
					prefix = fmt.Sprintf("%s[%d]", prefix, count-1)
				}
			}
			if e.Kind == unstable.ArrayTable {
				counts[prefix]++
				prefix = fmt.Sprintf("%s[%d]", prefix, counts[prefix]-1)
			}
			lines[prefix] = line
		}
	}
	return lines
}

func locateValue(p *unstable.Parser, lines map[string]int, prefix string, kv *unstable.Node) {
	key := prefix
	for it := kv.Key(); it.Next(); {
		n := it.Node()
		key = join(key, string(n.Data))
		lines[key] = p.Shape(n.Raw).Start.Line
	}
	locateInside(p, lines, key, kv.Value())
}

func locateInside(p *unstable.Parser, lines map[string]int, key string, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			locateValue(p, lines, key, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); {
			element := fmt.Sprintf("%s[%d]", key, i)
			if n := it.Node(); n.Kind == unstable.String && n.Raw.Length > 0 {
				lines[element] = p.Shape(n.Raw).Start.Line
			}
			locateInside(p, lines, element, it.Node())
			i++
		}
	}
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// field is a key of a table in the schema.
type field struct {
	name     string
	required bool
	index    []int
}

// fields lists the keys of a struct type from its toml tags.
func fields(t reflect.Type) []field {
	var list []field
	for _, f := range reflect.VisibleFields(t) {
		tag, ok := f.Tag.Lookup("toml")
		if !ok {
			continue
		}
		name, option, _ := strings.Cut(tag, ",")
		list = append(list, field{name: name, required: option == "required", index: f.Index})
	}
	return list
}

func (c *checker) table(path string, tree map[string]any, out reflect.Value) {
	known := fields(out.Type())
	names := make([]string, len(known))
	for i, f := range known {
		names[i] = f.name
		value, ok := tree[f.name]
		switch {
		case ok:
			c.value(join(path, f.name), value, out.FieldByIndex(f.index))
		case f.required:
			c.add(join(path, f.name), "required key is missing")
		}
	}
	for key := range tree {
		if !slices.Contains(names, key) {
			c.add(join(path, key), "unknown key, allowed are %s", strings.Join(names, ", "))
		}
	}
}

// parsers read the types that are written as text with a unit.
var parsers = map[reflect.Type]func(string) (int64, error){
	reflect.TypeFor[time.Duration](): func(s string) (int64, error) { d, err := parseDuration(s); return int64(d), err },
	reflect.TypeFor[Size]():          func(s string) (int64, error) { v, err := ParseSize(s); return int64(v), err },
	reflect.TypeFor[Rate]():          func(s string) (int64, error) { v, err := ParseRate(s); return int64(v), err },
}

func (c *checker) value(path string, value any, out reflect.Value) {
	if parse, ok := parsers[out.Type()]; ok {
		text, ok := value.(string)
		if !ok {
			c.add(path, "is %s, must be a string such as %q", typeName(value), out.Interface())
			return
		}
		n, err := parse(text)
		if err != nil {
			c.add(path, "%v", err)
			return
		}
		out.SetInt(n)
		return
	}
	switch out.Kind() {
	case reflect.String:
		if v, ok := value.(string); ok {
			out.SetString(v)
			return
		}
	case reflect.Bool:
		if v, ok := value.(bool); ok {
			out.SetBool(v)
			return
		}
	case reflect.Int, reflect.Uint64:
		if v, ok := value.(int64); ok {
			c.integer(path, v, out)
			return
		}
	case reflect.Float64:
		switch v := value.(type) {
		case float64:
			if math.IsNaN(v) || math.IsInf(v, 0) {
				c.add(path, "must be a finite number")
				return
			}
			out.SetFloat(v)
			return
		case int64:
			out.SetFloat(float64(v))
			return
		}
	case reflect.Struct:
		if v, ok := value.(map[string]any); ok {
			c.table(path, v, out)
			return
		}
	case reflect.Slice:
		if v, ok := value.([]any); ok {
			c.array(path, v, out)
			return
		}
	case reflect.Map:
		if v, ok := value.(map[string]any); ok {
			c.namedValues(path, v, out)
			return
		}
	}
	c.add(path, "is %s, must be %s", typeName(value), kindName(out.Kind()))
}

func (c *checker) integer(path string, v int64, out reflect.Value) {
	if v < 0 || v > math.MaxInt32 && out.Kind() == reflect.Int {
		c.add(path, "%d is out of range", v)
		return
	}
	if out.Kind() == reflect.Int {
		out.SetInt(v)
	} else {
		out.SetUint(uint64(v))
	}
}

// namedValues reads a table whose keys are names that the operators choose.
func (c *checker) namedValues(path string, tree map[string]any, out reflect.Value) {
	out.Set(reflect.MakeMapWithSize(out.Type(), len(tree)))
	for name, v := range tree {
		element := reflect.New(out.Type().Elem()).Elem()
		c.value(join(path, name), v, element)
		out.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (c *checker) array(path string, list []any, out reflect.Value) {
	out.Set(reflect.MakeSlice(out.Type(), len(list), len(list)))
	for i, v := range list {
		element := out.Index(i)
		if d, ok := element.Addr().Interface().(interface{ setDefaults() }); ok {
			d.setDefaults()
		}
		c.value(fmt.Sprintf("%s[%d]", path, i), v, element)
	}
}

func typeName(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	}
	return "a date or time"
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Map:
		return "a table"
	case reflect.Slice:
		return "an array"
	}
	return "an integer"
}
