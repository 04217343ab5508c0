package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

type bulkMessage struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Header map[string][]string
	Body   []byte
	Last   int
}

// Guards against messages whose body is left out or put elsewhere, against those of earlier
// versions that can't be taken apart, and against damaged ones that end the process.
func TestBulk(t *testing.T) {
	for _, size := range []int{0, 1, 23, 24, 255, 256, 65535, 65536} {
		want := bulkMessage{Name: "a", Header: map[string][]string{"B": {"c"}}, Body: bytes.Repeat([]byte("x"), size), Last: 7}
		whole, err := cbor.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		without := want
		without.Body = []byte{}
		encoded, err := cbor.Marshal(without)
		if err != nil {
			t.Fatal(err)
		}
		before, after, err := insertBulk(encoded, 2, size)
		if err != nil {
			t.Fatal(err)
		}
		sent := append(append(before, want.Body...), after...)
		for version, message := range map[string][]byte{"this": sent, "earlier": whole} {
			var got bulkMessage
			if err := cbor.Unmarshal(message, &got); err != nil || !bytes.Equal(got.Body, want.Body) || got.Last != want.Last {
				t.Errorf("%s version, %d bytes: an earlier node decodes %d bytes, %v", version, size, len(got.Body), err)
			}
			rest, bulk, err := TakeBulk(message, 2)
			if err == nil {
				err = cbor.Unmarshal(rest, &got)
			}
			if err != nil || !bytes.Equal(bulk, want.Body) || len(got.Body) != 0 || got.Name != want.Name || got.Last != want.Last {
				t.Errorf("%s version, %d bytes: taken apart to %d bytes and %+v, %v", version, size, len(bulk), got, err)
			}
		}
		for n := range min(len(sent)-1, 40) {
			if _, _, err := TakeBulk(sent[:n], 2); size > 40 && !errors.Is(err, errNoBulk) {
				t.Errorf("%d bytes of a message are taken apart, %v", n, err)
			}
		}
	}
}
