package conf

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// anyMethod in Class.Methods stands for every method.
const anyMethod = "*"

// compile orders the classes for Match: the longest prefix first, and for the
// same prefix a named method before any method.
func (s *Service) compile() {
	s.ordered = make([]*Class, len(s.Classes))
	for i := range s.Classes {
		s.ordered[i] = &s.Classes[i]
	}
	slices.SortStableFunc(s.ordered, func(a, b *Class) int {
		if d := len(b.Prefix) - len(a.Prefix); d != 0 {
			return d
		}
		return rank(a) - rank(b)
	})
	if s.KeyFrom.From == "header" {
		s.KeyFrom.Name = canonicalHeader(s.KeyFrom.Name)
	}
}

func rank(c *Class) int {
	if slices.Contains(c.Methods, anyMethod) {
		return 1
	}
	return 0
}

// Match finds the service by the first segment of the decoded path and the
// class by the method and the longest prefix. The service is also returned if
// none of its classes matches; ok is then false. A path with an empty, "." or
// ".." segment never matches, as the target could take it for another path,
// and so a once-only request for a repeatable one.
func (r *Rules) Match(method, path string) (service *Service, class *Class, ok bool) {
	if path == "" || path[0] != '/' {
		return nil, nil, false
	}
	name, rest := path[1:], "/"
	if i := strings.IndexByte(name, '/'); i >= 0 {
		name, rest = name[:i], name[i:]
	}
	service = r.byName[name]
	if service == nil {
		return nil, nil, false
	}
	if !canonical(rest) {
		return service, nil, false
	}
	for _, c := range service.ordered {
		if hasSegments(rest, c.Prefix) && c.allows(method) {
			return service, c, true
		}
	}
	return service, nil, false
}

func (c *Class) allows(method string) bool {
	for _, m := range c.Methods {
		if m == method || m == anyMethod {
			return true
		}
	}
	return false
}

// hasSegments compares whole segments: /fee is a prefix of /fee/7, not of /fees.
func hasSegments(path, prefix string) bool {
	if prefix == "/" {
		return true
	}
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}

// canonical reports whether an absolute path has no empty, "." or ".." segment.
// One trailing slash is allowed.
func canonical(path string) bool {
	for path != "" {
		path = path[1:]
		end := strings.IndexByte(path, '/')
		if end < 0 {
			return path != "." && path != ".."
		}
		if s := path[:end]; s == "" || s == "." || s == ".." {
			return false
		}
		path = path[end:]
	}
	return true
}

// Key returns the key of a request from its decoded path, its headers or its
// raw query. ok is false if the service has no keys, or if the request states
// none or more than one.
func (s *Service) Key(path string, header http.Header, query string) (key string, ok bool) {
	if !s.Keyed {
		return "", false
	}
	switch s.KeyFrom.From {
	case "path":
		key = segment(path, s.KeyFrom.Segment)
	case "header":
		if values := header[s.KeyFrom.Name]; len(values) == 1 {
			key = values[0]
		}
	case "query":
		key = parameter(query, s.KeyFrom.Name)
	}
	return key, key != ""
}

// segment returns the nth segment of an absolute path, from 1, or "".
func segment(path string, n int) string {
	for ; n > 0; n-- {
		if path == "" || path[0] != '/' {
			return ""
		}
		path = path[1:]
		end := strings.IndexByte(path, '/')
		if end < 0 {
			end = len(path)
		}
		if n == 1 {
			return path[:end]
		}
		path = path[end:]
	}
	return ""
}

// parameter returns the value of a query parameter that occurs once, or "".
func parameter(query, name string) string {
	found, value := false, ""
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		k, v, _ := strings.Cut(pair, "=")
		if k, err := url.QueryUnescape(k); err != nil || k != name {
			continue
		}
		v, err := url.QueryUnescape(v)
		if err != nil || found {
			return ""
		}
		found, value = true, v
	}
	return value
}
