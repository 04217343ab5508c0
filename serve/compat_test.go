package serve

import (
	"errors"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"burdocklift/pick"
	"burdocklift/terse"
)

// earlierRequest is a forwarded request as nodes of earlier versions know it.
type earlierRequest struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Method     string
	Host       string
	Path       string
	Header     http.Header
	Body       []byte
	Key        int
	Origin     string
	Service    string
	Class      string
	Urgency    int
	Idempotent bool
	Remaining  int64
	Objective  int64
	Age        int64
}

// Guards against requests between nodes of this version and earlier ones that can't be
// decoded, or that earlier nodes take for late.
func TestEarlierNodes(t *testing.T) {
	t.Run("to an earlier node", func(t *testing.T) {
		remaining := time.Second.Microseconds()
		b, err := cbor.Marshal(forwardedRequest{ID: "1", Key: -1, Remaining: remaining, LegacyObjective: remaining})
		if err != nil {
			t.Fatal(err)
		}
		var got earlierRequest
		if err := cbor.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		if got.ID != "1" || got.Key != -1 || got.Remaining != remaining || got.Objective != remaining || got.Age != 0 {
			t.Errorf("earlier node decodes %+v", got)
		}
	})
	t.Run("from an earlier node", func(t *testing.T) {
		b, err := cbor.Marshal(earlierRequest{ID: "1", Key: 7, Remaining: 5, Objective: -3, Age: 9})
		if err != nil {
			t.Fatal(err)
		}
		var got forwardedRequest
		if err := cbor.Unmarshal(b, &got); err != nil {
			t.Fatal(err)
		}
		if got.ID != "1" || got.Key != 7 || got.Remaining != 5 {
			t.Errorf("request of an earlier node is decoded as %+v", got)
		}
	})
}

// typical returns a request and its result as they are common between regions, without
// bodies.
func typical() (forwardedRequest, forwardedResult, forwardedLoad) {
	remaining := (1975 * time.Millisecond).Microseconds()
	return forwardedRequest{
		ID: "ff44eba739e5e570", Method: "POST", Host: "archive.internal", Path: "/archive/items/8123?limit=20", Header: http.Header{
			"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "Cookie": {"session=5f0c3b9d27e64a81"}, "User-Agent": {"loadgen/1.4"},
			"Key": {"51624"}, "Content-Type": {"application/json"},
		}, Key: 51624, Origin: "front-desk", Service: "lot-archive", Class: "archive-items", Urgency: -3, Idempotent: true,
		Remaining: remaining, LegacyObjective: remaining,
	}, forwardedResult{
		Reason: ReasonAnswered, Status: 200, Sends: 1, Header: http.Header{
			"Content-Type": {"application/json"}, "Date": {"Sun, 06 Nov 1994 08:49:37 GMT"},
			"Signature": {"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"},
		},
	}, forwardedLoad{
		load:  pick.Load{Running: 7, Waiting: 3, Limit: 8, ServiceTime: 212 * time.Millisecond, Pace: 3},
		spent: 431 * time.Millisecond,
	}
}

// Guards against requests and results that change in the terse form.
func TestTerseForm(t *testing.T) {
	request, result, load := typical()
	for _, body := range [][]byte{nil, []byte("body")} {
		request.Body, result.Body = body, body
		gotRequest, err := decodeTerseRequest(encodeTerseRequest(&request, nil).Bytes(), nil)
		gotRequest.LegacyObjective = request.LegacyObjective // not sent
		if err != nil || !reflect.DeepEqual(gotRequest, request) {
			t.Errorf("request becomes %+v, %v", gotRequest, err)
		}
		for _, l := range []forwardedLoad{load, {}} {
			gotResult, gotLoad, err := decodeTerseResult(encodeTerseResult(&result, l))
			if err != nil || !reflect.DeepEqual(gotResult, result) || gotLoad != l {
				t.Errorf("result becomes %+v %+v, %v", gotResult, gotLoad, err)
			}
		}
	}
	request.Key, request.Idempotent, request.Header = -1, false, nil
	if got, err := decodeTerseRequest(encodeTerseRequest(&request, nil).Bytes(), nil); err != nil || got.Key != -1 || got.Idempotent {
		t.Errorf("request without a key becomes %+v, %v", got, err)
	}
	if _, err := decodeTerseRequest([]byte{1, 0xff}, nil); !errors.Is(err, terse.ErrInvalid) {
		t.Errorf("error of a faulty request is %v", err)
	}
}

// Guards against messages between nodes that grow. It prints their sizes without bodies.
func TestMessageSizes(t *testing.T) {
	request, result, load := typical()
	sizes := func(message any, short []byte) (long, terse int) {
		b, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return len(b), len(short)
	}
	var strings terse.Learner
	first := encodeTerseRequest(&request, &strings)
	strings.Confirm(first)
	for _, m := range []struct {
		name    string
		message any
		short   []byte
		most    int
	}{
		{"first request of a connection", request, first.Bytes(), 155},
		{"request", request, encodeTerseRequest(&request, &strings).Bytes(), 90},
		{"result", result, encodeTerseResult(&result, load), 70},
	} {
		long, short := sizes(m.message, m.short)
		t.Logf("%s: %d bytes, %d in the terse form", m.name, long, short)
		if short > m.most {
			t.Errorf("%s takes %d bytes, want at most %d", m.name, short, m.most)
		}
	}
}

// BenchmarkForms compares the processor time of both forms: to encode and decode a typical
// request and its result.
func BenchmarkForms(b *testing.B) {
	request, result, load := typical()
	request.Body, result.Body = make([]byte, 1024), make([]byte, 1024)
	b.Run("long", func(b *testing.B) {
		for b.Loop() {
			var gotRequest forwardedRequest
			var gotResult forwardedResult
			x, err := cbor.Marshal(request)
			y, err2 := cbor.Marshal(result)
			if err = errors.Join(err, err2, cbor.Unmarshal(x, &gotRequest), cbor.Unmarshal(y, &gotResult)); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("terse", func(b *testing.B) {
		var strings terse.Learner
		var memory terse.Memory
		for b.Loop() {
			w := encodeTerseRequest(&request, &strings)
			_, err := decodeTerseRequest(w.Bytes(), &memory)
			strings.Confirm(w)
			_, _, err2 := decodeTerseResult(encodeTerseResult(&result, load))
			if err = errors.Join(err, err2); err != nil {
				b.Fatal(err)
			}
		}
	})
}
