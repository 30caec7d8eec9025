package chiveharness

import (
	"fmt"
	"strings"

	"github.com/chiveyoke/chiveyoke/internal/run/chivecert"
)

// SmallSheet returns a sheet for tests at addresses 127.NET.x.x: two zones, each
// with a rank group of that many runners and two runners of a service.
func SmallSheet(net, runners int) []byte {
	return buildSheet(net, runners, 4, 32)
}

// WarmSheet returns a sheet as SmallSheet does, whose runners bear 256 requests
// from the start.
func WarmSheet(net, runners int) []byte {
	return buildSheet(net, runners, 256, 256)
}

// TargetSheet returns a sheet of the target's size: 920 runners in 39 groups, 460
// workspaces and 8 zones.
func TargetSheet(net int) []byte {
	const runners, groups, workspaces, zones = 920, 39, 460, 8
	var b strings.Builder
	b.WriteString("kind;name;zone;group;model;engine;agent;share;key;cold;full;fencing;resume\n")
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		fmt.Fprintf(&b, "workspace;%s;;;;;;%d;%s;;;;\n", name, 1+i%7, chivecert.DigestSecret("demo-"+name))
	}
	for i := range zones {
		fmt.Fprintf(&b, "zone;zone-%d;;;;;;;;;;;\n", i)
	}
	for i := range groups {
		fmt.Fprintf(&b, "group;group-%d;zone-%d;;model-%d;;;;;;;;\n", i, i%zones, i)
	}
	for i := range runners {
		host := fmt.Sprintf("127.%d.%d.%d", net, 1+i/200, 1+i%200)
		group := i % groups
		fmt.Fprintf(&b, "endpoint;runner-%d;zone-%d;group-%d;;%s:8000;%s:7443;;;4;32;no;yes\n", i, group%zones, group, host, host)
	}
	return []byte(b.String())
}

func buildSheet(net, runners, cold, full int) []byte {
	var b strings.Builder
	b.WriteString("kind;name;zone;group;model;engine;agent;share;key;cold;full;fencing;resume\n")
	for i, w := range []string{"large", "middle", "small"} {
		fmt.Fprintf(&b, "workspace;%s;;;;;;%d;%s;;;;\n", w, 4>>i, chivecert.DigestSecret("demo-"+w))
	}
	b.WriteString("service;orders;;;;;;;;;;;\n")
	host := 0
	for _, zone := range []string{"north", "south"} {
		fmt.Fprintf(&b, "zone;%s;;;;;;;;;;;\ngroup;draft-%s;%s;;draft;;;;;;;;\n", zone, zone, zone)
		for i := range runners {
			host++
			fmt.Fprintf(&b, "endpoint;%s-%d;%s;draft-%s;;127.%d.1.%d:8000;127.%d.1.%d:7443;;;%d;%d;no;yes\n",
				zone, i+1, zone, zone, net, host, net, host, cold, full)
		}
		for i := range 2 {
			host++
			fmt.Fprintf(&b, "endpoint;orders-%s-%d;%s;orders;;127.%d.1.%d:8000;127.%d.1.%d:7443;;;8;64;no;no\n",
				zone, i+1, zone, net, host, net, host)
		}
	}
	return []byte(b.String())
}
