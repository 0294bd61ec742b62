package lhconf

import (
	"fmt"
	"strings"
	"testing"
)

// largeFolder returns a folder with one file per service, which also declares the
// service's servers and a kind.
func largeFolder(services, serversEach int) map[string]string {
	files := make(map[string]string)
	for i := range services {
		var text strings.Builder
		fmt.Fprintf(&text, "[service s%d]\naddress = 10.%d.%d.80:443\nproto = tcp\n", i, i>>8, i&255)
		fmt.Fprintf(&text, "[kind k%d]\nservice = s%d\nurgency = 5\nshare = 60\n", i, i)
		for j := range serversEach {
			n := i*serversEach + j
			fmt.Fprintf(&text, "[server s%d-%d]\nservice = s%d\naddress = 11.%d.%d.%d:6081\n", i, j, i, n>>16, n>>8&255, n&255)
			text.WriteString("datacentre = ebetsu\nslots = 2\nflows = 2000\nreport = http://10.0.0.1:8080/load\n")
		}
		files[fmt.Sprintf("%05d.ini", i)] = text.String()
	}
	return files
}

// BenchmarkCheck checks folders with 1,000 and 41,000 servers.
func BenchmarkCheck(b *testing.B) {
	for _, services := range []int{100, 4100} {
		files := largeFolder(services, 10)
		b.Run(fmt.Sprintf("servers=%d", services*10), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Check(files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMerger checks a folder in which one file changes with each version.
func BenchmarkMerger(b *testing.B) {
	for _, services := range []int{100, 4100} {
		files := largeFolder(services, 10)
		b.Run(fmt.Sprintf("servers=%d", services*10), func(b *testing.B) {
			var m Merger
			if _, err := m.Check(files); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				files["00007.ini"] += "# changed\n"
				if _, err := m.Check(files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
