package trial

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"hickorydrum/standin"
)

// startLink assigns names and addresses to the instances and starts the link, which
// relays every advertised address to the port that the process listens on.
func (d *Deployment) startLink() error {
	routes := []standin.Route{{Network: "tcp", From: platformAddress, To: shiftPort(platformAddress, processPortOffset)}}
	for _, s := range d.set.Services() {
		for _, w := range s.Workers() {
			routes = append(routes, standin.Route{Network: "tcp", From: w.Address(), To: shiftPort(w.Address(), processPortOffset)})
		}
	}
	for _, address := range d.directUpstreams() {
		routes = append(routes, standin.Route{Network: "tcp", From: address, To: shiftPort(address, processPortOffset)})
	}
	for r, region := range d.set.Regions() {
		for k, domain := range region.Domains() {
			for n := range instancesPerDomain {
				i := &instanceProcess{
					name: fmt.Sprintf("%s-%c", domain, 'a'+n), region: region.Name(), domain: domain,
					ip: fmt.Sprintf("127.%d.%d.%d", r+1, k+1, 11+n),
				}
				d.instances = append(d.instances, i)
				for network, port := range map[string]int{"tcp": callerPort, "udp": peerPort} {
					from := fmt.Sprintf("%s:%d", i.ip, port)
					routes = append(routes, standin.Route{Network: network, From: from, To: shiftPort(from, processPortOffset)})
				}
			}
		}
	}
	data, err := json.Marshal(routes)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, "routes.json")
	if err := os.WriteFile(file, data, fileMode); err != nil {
		return err
	}
	_, err = d.start("link", d.standinProgram, nil, "link", "-routes", file, "-control", linkControlAddress,
		"-domains", "500us", "-regions", d.profile.rtt.String(), "-callers", "3ms")
	return err
}

// shiftPort adds an offset to the port of an address. It returns an invalid address as
// it is.
func shiftPort(address string, offset int) string {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(ap.Addr(), ap.Port()+uint16(offset)).String()
}
