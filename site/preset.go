package site

import (
	_ "embed" // the rules of the two sites
	"fmt"
	"time"

	"burdocklift/emul"
	"burdocklift/proto"
)

//go:embed authority.toml
var authorityRules []byte

//go:embed cascadia.toml
var cascadiaRules []byte

// Work is the mean service time of the targets of Authority and Cascadia.
const Work = 2 * time.Millisecond

// Authority returns the deployment of the Niger Delta Coastal Grazing Authority.
func Authority(seed uint64) Spec {
	places := []proto.Place{
		{DataCentre: "brass", Region: "bayelsa"},
		{DataCentre: "bonny", Region: "rivers"},
		{DataCentre: "nembe", Region: "bayelsa"},
		{DataCentre: "andoni", Region: "rivers"},
	}
	s := Spec{Rules: authorityRules}
	s.add(places, 5, seed, emul.TargetConfig{Service: "permit", Slots: 12, Connections: 110, ChecksGrants: true, Work: Work})
	s.add(places, 4, seed, emul.TargetConfig{Service: "registry", Slots: 12, Connections: 110, Work: Work})
	return s
}

// Cascadia returns the deployment of Cascadia Headguard Recall Services.
func Cascadia(seed uint64) Spec {
	places := []proto.Place{
		{DataCentre: "pugeta", Region: "puget"},
		{DataCentre: "willamettea", Region: "willamette"},
		{DataCentre: "pugetb", Region: "puget"},
		{DataCentre: "willametteb", Region: "willamette"},
	}
	s := Spec{Rules: cascadiaRules}
	s.add(places, 6, seed, emul.TargetConfig{Service: "claims", Slots: 9, Connections: 70, ChecksGrants: true, Work: Work})
	s.add(places, 4, seed, emul.TargetConfig{Service: "lots", Slots: 9, Connections: 70, Work: Work})
	return s
}

// add adds hosts of one service, spread over the places.
func (s *Spec) add(places []proto.Place, n int, seed uint64, target emul.TargetConfig) {
	for i := range n {
		t := target
		t.Seed = seed + uint64(len(s.Hosts))
		s.Hosts = append(s.Hosts, HostSpec{
			Name: fmt.Sprintf("%s%d", t.Service, i), Place: places[i%len(places)], Target: t,
		})
	}
}
