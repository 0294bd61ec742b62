package lhdemo

import (
	"fmt"
	"strings"
)

// serverFlowLimit is the limit of flows of a backend server.
const serverFlowLimit = 2000

// configFiles returns the files of the wanted configuration, by name.
func (f *Fleet) configFiles() map[string]string {
	files := map[string]string{"10-services.ini": f.layout.serviceFile()}
	if len(f.layout.Kinds) > 0 {
		files["15-kinds.ini"] = f.layout.kindFile()
	}
	for _, s := range f.servers {
		files["20-"+s.Name+".ini"] = f.serverFile(s)
	}
	return files
}

func (l Layout) serviceFile() string {
	var b strings.Builder
	for n := range l.Services {
		fmt.Fprintf(&b, "[service %s]\naddress = %v\nproto = tcp\n", serviceName(n), serviceAt(n))
	}
	return b.String()
}

func (l Layout) kindFile() string {
	var b strings.Builder
	for n := range l.Services {
		for _, k := range l.Kinds {
			fmt.Fprintf(&b, "[kind %s-%s]\nservice = %s\ncallers = %v\nurgency = %d\nshare = %d\n",
				serviceName(n), k.Name, serviceName(n), k.Callers, k.Urgency, k.Share)
		}
	}
	return b.String()
}

func (f *Fleet) serverFile(s *server) string {
	state := "serving"
	if s.draining {
		state = "draining"
	}
	text := fmt.Sprintf("[server %s]\nservice = %s\naddress = %v\ndatacentre = %s\nslots = %d\nflows = %d\nstate = %s\n",
		s.Name, s.Service, s.Address(), s.dataCentre, f.layout.Slots, serverFlowLimit, state)
	if s.reportURL != "" {
		text += fmt.Sprintf("report = %s\n", s.reportURL)
	}
	return text
}
