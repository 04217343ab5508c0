package conf

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

var errHead = errors.New("version, author and write must each be alone on one line")

// SetHead returns the text of a document with another head and everything
// else, comments included, as it was.
func SetHead(b []byte, h Head) ([]byte, error) {
	lines := bytes.Split(bytes.TrimSuffix(b, []byte("\n")), []byte("\n"))
	at := locate(b)
	first, ok := at["version"]
	if !ok {
		return nil, fmt.Errorf("set head: %w: version is missing", ErrInvalid)
	}
	head := fmt.Appendf(nil, "version = %d\nauthor = %q\nwrite = %q", h.Version, h.Author, h.Write)
	out := make([][]byte, 0, len(lines)+2)
	for i, line := range lines {
		switch i + 1 {
		case first:
			out = append(out, head)
		case at["author"], at["write"]:
		default:
			out = append(out, line)
		}
	}
	edited := append(bytes.Join(out, []byte("\n")), '\n')
	// A value that spans lines or shares its line would be damaged; such a
	// document is refused and not stored in another form.
	was, err := body(b)
	if err != nil {
		return nil, err
	}
	is, err := body(edited)
	if err != nil || !reflect.DeepEqual(was, is) {
		return nil, fmt.Errorf("set head: %w", errHead)
	}
	if len(edited) >= MaxDocument {
		return nil, fmt.Errorf("set head: %w: document has %d bytes, must be under %d", ErrInvalid, len(edited), MaxDocument)
	}
	return edited, nil
}

// body returns the values of a document without its head.
func body(b []byte) (map[string]any, error) {
	var tree map[string]any
	if err := toml.Unmarshal(b, &tree); err != nil {
		return nil, fmt.Errorf("set head: %w: %w", ErrInvalid, err)
	}
	maps.DeleteFunc(tree, func(k string, _ any) bool { return slices.Contains([]string{"version", "author", "write"}, k) })
	return tree, nil
}

// Same reports whether two texts state the same apart from their heads.
func Same(a, b []byte) bool {
	x, errA := body(a)
	y, errB := body(b)
	return errA == nil && errB == nil && reflect.DeepEqual(x, y)
}

// Keys lists every key of a document's schema, as in service.class.deadline.
// The argument is a Settings, Inventory or Rules value.
func Keys(document any) []string {
	return keys("", reflect.TypeOf(document))
}

func keys(path string, t reflect.Type) []string {
	if t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var list []string
	for _, f := range fields(t) {
		key := join(path, f.name)
		list = append(list, key)
		list = append(list, keys(key, t.FieldByIndex(f.index).Type)...)
	}
	return list
}

// ReadHead reads only the head of a document, so that a stored document can be
// handled that a newer schema refuses.
func ReadHead(b []byte) (Head, error) {
	var h Head
	if err := toml.Unmarshal(b, &struct {
		Version *uint64 `toml:"version"`
		Author  *string `toml:"author"`
		Write   *string `toml:"write"`
	}{&h.Version, &h.Author, &h.Write}); err != nil {
		return Head{}, fmt.Errorf("read head: %w: %w", ErrInvalid, err)
	}
	return h, nil
}
